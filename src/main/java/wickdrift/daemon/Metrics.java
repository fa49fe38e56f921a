package wickdrift.daemon;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** The metrics of this process. */
public final class Metrics {
  private final MeterRegistry registry = new SimpleMeterRegistry();
  private final Counter requests = registry.counter("wickdrift.requests");

  /** Counts a request that has come in. */
  public void countRequest() {
    requests.increment();
  }

  /** Registers a gauge whose value is read on each snapshot. */
  public void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder("wickdrift." + name, value).register(registry);
  }

  /** Returns the current values of all metrics by name. */
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
