package wickdrift.daemon;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** What the process counts, for operators. */
public final class Metrics {
  private final MeterRegistry registry = new SimpleMeterRegistry();
  private final Counter requests = registry.counter("wickdrift.requests");

  public void countRequest() {
    requests.increment();
  }

  /** A figure that is read when it is asked for. */
  public void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder("wickdrift." + name, value).register(registry);
  }

  /** All figures as they are now, by name. */
  public Map<String, Object> snapshot() {
    Map<String, Object> figures = new TreeMap<>();
    for (Meter meter : registry.getMeters()) {
      meter
          .measure()
          .forEach(
              measurement ->
                  figures.put(
                      meter.getId().getName() + "." + measurement.getStatistic(),
                      measurement.getValue()));
    }
    return figures;
  }
}
