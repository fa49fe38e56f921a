package wickdrift.daemon;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import java.util.TreeMap;

/** What the process counts, for operators. */
public final class Metrics {
  private final MeterRegistry registry = new SimpleMeterRegistry();
  private final Counter requests = registry.counter("wickdrift.requests");

  public void request() {
    requests.increment();
  }

  public Map<String, Object> snapshot() {
    Map<String, Object> out = new TreeMap<>();
    for (Meter m : registry.getMeters()) {
      m.measure().forEach(v -> out.put(m.getId().getName() + "." + v.getStatistic(), v.getValue()));
    }
    return out;
  }
}
