package wickdrift.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wickdrift.transport.Caller;

/**
 * A simulated network of named hosts. It delays requests, and can cut links (requests are lost, or
 * held until the link is healed), block one direction, duplicate, delay, replay and garble.
 */
public final class SimNetwork {
  /** Serves the requests to an address. */
  public interface Server {
    /** Serves one request, and passes the answer, if any, to {@code done}. */
    void serve(
        String from, String method, String path, byte[] body, Consumer<Caller.Response> done);

    /** Returns a number that grows with each restart. Late requests to an earlier one are lost. */
    default long incarnation() {
      return 0;
    }
  }

  private final SimClock clock;
  private final Random random;
  private final Map<String, Server> servers = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Map<String, List<Runnable>> heldByLink = new HashMap<>();

  /** Hosts that receive nothing, although what they send arrives. */
  final Set<String> deaf = new HashSet<>();

  /** Hosts whose own requests are lost, although requests to them arrive and are answered. */
  final Set<String> mute = new HashSet<>();

  /**
   * Duplicates a share of the requests to a path: a copy arrives within a time at one of the hosts.
   */
  record Copies(String path, double share, long withinMs, List<String> to) {}

  Copies copies;

  /** Delays a share of the requests to a path. They arrive once, and their answers are lost. */
  record Delay(String path, double share, long fromMs, long toMs) {}

  Delay delay;

  /** How many requests arrived late because of {@link #delay}. */
  int delayed;

  /** What happens to a request. */
  enum Fate {
    DELIVERED,
    /** The request is held without an answer until {@link #releaseHeld} is called. */
    HELD,
    /** The request arrives; its answer is lost. */
    ANSWER_LOST,
    /** The request arrives; the connection is reset before the answer. */
    ANSWER_RESET,
    /** The request arrives after {@link FaultScript#lateMs}; its answer is lost. */
    LATE,
    /** The request never arrives, and its sender gets no answer. */
    LOST,
    /** The connection is reset before the request arrives. */
    RESET
  }

  /** Decides what happens to each request. */
  interface FaultScript {
    /** Returns what happens to a request. */
    Fate fateOf(String from, String to, String path, byte[] body);

    /** Returns the delay of the next request that is {@link Fate#LATE}. */
    default long lateMs() {
      return 0;
    }
  }

  FaultScript script = (from, to, path, body) -> Fate.DELIVERED;

  private final List<Runnable> heldByScript = new ArrayList<>();

  /** Hosts whose answers arrive with a body that cannot be decoded. */
  final Set<String> garbled = new HashSet<>();

  /** The timeout of a duplicate or late request to a real process. */
  private static final long PROCESS_TIMEOUT_MS = 5000;

  private static final byte[] GARBLED_BODY = {(byte) 0xc1, 7, 7};

  /** The share of the reports that is recorded for {@link #releaseCopies}. */
  double keepShare;

  /** How many recorded reports were replayed. */
  int released;

  private record RecordedReport(String from, String path, byte[] body) {}

  private final List<RecordedReport> recordedReports = new ArrayList<>();

  /** The callers of hosts that are real processes, by name. */
  final Map<String, Caller> processCallers = new HashMap<>();

  /** Called with each address at which a server starts to listen. */
  Consumer<String> listenObserver = a -> {};

  /** Creates a network without servers and faults. */
  public SimNetwork(SimClock clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  /** Registers a server for an address, and notifies {@link #listenObserver}. */
  public void listen(String address, Server server) {
    servers.put(address, server);
    listenObserver.accept(address);
  }

  /** Removes the server of an address. */
  public void close(String address) {
    servers.remove(address);
  }

  /** Returns the server of an address, or null. */
  Server at(String address) {
    return servers.get(address);
  }

  private static String linkKey(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  /** Cuts the link between two hosts; requests are lost, or held until it is healed. */
  public void cut(String a, String b, boolean holdRequests) {
    cutLinks.add(linkKey(a, b));
    if (holdRequests) {
      heldByLink.putIfAbsent(linkKey(a, b), new ArrayList<>());
    }
  }

  /** Heals the link between two hosts; held requests and answers arrive. */
  public void heal(String a, String b) {
    cutLinks.remove(linkKey(a, b));
    List<Runnable> heldRequests = heldByLink.remove(linkKey(a, b));
    if (heldRequests != null) {
      heldRequests.forEach(request -> clock.after(transmissionDelayMs(), request));
    }
  }

  /** Returns a random transmission delay of one message. */
  private long transmissionDelayMs() {
    // One message in 40 is lost and retransmitted.
    return 1 + random.nextInt(4) + (random.nextInt(40) == 0 ? 250 : 0);
  }

  private void duplicateIfSelected(String from, String method, String path, byte[] body) {
    if (copies != null && path.equals(copies.path) && random.nextDouble() < copies.share) {
      String to = copies.to.get(random.nextInt(copies.to.size()));
      clock.after(
          (long) (random.nextDouble() * copies.withinMs),
          () -> deliver(from, to, method, path, body, a -> {}));
    }
  }

  /** Delivers a request to the process or server of an address, if there is one. */
  private void deliver(
      String from,
      String to,
      String method,
      String path,
      byte[] body,
      Consumer<Caller.Response> done) {
    Caller process = processCallers.get(to);
    Server server = servers.get(to);
    if (process != null) {
      process.call(to, method, path, body, PROCESS_TIMEOUT_MS, done);
    } else if (server != null) {
      server.serve(from, method, path, body, done);
    }
  }

  private void deliverLate(String from, String to, String method, String path, byte[] body) {
    Server server = servers.get(to);
    long incarnation = server == null ? 0 : server.incarnation();
    clock.after(
        script.lateMs(),
        () -> {
          Server current = servers.get(to);
          // A restart closes the connection, and the requests on their way are lost.
          if (current == null || current.incarnation() == incarnation) {
            deliver(from, to, method, path, body, a -> {});
          }
        });
  }

  private void recordIfSelected(String from, String path, byte[] body) {
    if (keepShare > 0 && path.equals("/hello") && random.nextDouble() < keepShare) {
      recordedReports.add(new RecordedReport(from, path, body));
    }
  }

  /** Delivers every recorded report to each of the hosts. */
  void releaseCopies(List<String> hosts) {
    for (RecordedReport report : recordedReports) {
      for (String host : hosts) {
        released++;
        clock.after(
            transmissionDelayMs(),
            () -> {
              Server server = servers.get(host);
              if (server != null) {
                server.serve(report.from, "POST", report.path, report.body, a -> {});
              }
            });
      }
    }
    recordedReports.clear();
  }

  /** Delivers every request that the script has held; the answers are discarded. */
  void releaseHeld() {
    heldByScript.forEach(delivery -> clock.after(transmissionDelayMs(), delivery));
    heldByScript.clear();
  }

  private void holdByScript(String from, String to, String method, String path, byte[] body) {
    heldByScript.add(() -> deliver(from, to, method, path, body, answer -> {}));
  }

  private boolean delayIfSelected(
      String from, String address, String method, String path, byte[] body) {
    if (delay == null || !path.equals(delay.path) || random.nextDouble() >= delay.share) {
      return false;
    }
    long delayMs = delay.fromMs + (long) (random.nextDouble() * (delay.toMs - delay.fromMs));
    clock.after(
        delayMs,
        () -> {
          Server server = servers.get(address);
          if (server != null && !cutLinks.contains(linkKey(from, address))) {
            delayed++;
            server.serve(from, method, path, body, a -> {});
          }
        });
    return true;
  }

  /** Delivers a message after a transmission delay, unless its link is cut or blocked. */
  private void send(String from, String to, Runnable delivery) {
    if (deaf.contains(to)) {
      return;
    }
    String link = linkKey(from, to);
    if (cutLinks.contains(link)) {
      if (heldByLink.containsKey(link)) {
        heldByLink.get(link).add(delivery);
      }
      return;
    }
    clock.after(transmissionDelayMs(), delivery);
  }

  /**
   * Returns the client of a host.
   *
   * @param alive whether the calling process still runs; if not, it gets no more answers
   */
  public Caller caller(String from, BooleanSupplier alive) {
    return (address, method, path, body, timeoutMs, done) -> {
      boolean[] finished = {false};
      Consumer<Caller.Response> once =
          answer -> {
            if (!finished[0] && alive.getAsBoolean()) {
              finished[0] = true;
              done.accept(answer);
            }
          };
      clock.after(timeoutMs, () -> once.accept(Caller.Response.NO_RESPONSE));
      if (mute.contains(from)) {
        return;
      }
      duplicateIfSelected(from, method, path, body);
      recordIfSelected(from, path, body);
      if (delayIfSelected(from, address, method, path, body)) {
        return;
      }
      Fate fate = script.fateOf(from, address, path, body);
      switch (fate) {
        case HELD -> holdByScript(from, address, method, path, body);
        case LATE -> deliverLate(from, address, method, path, body);
        case RESET -> clock.after(1, () -> once.accept(Caller.Response.NO_RESPONSE));
        default -> {}
      }
      boolean arrives =
          fate == Fate.DELIVERED || fate == Fate.ANSWER_LOST || fate == Fate.ANSWER_RESET;
      if (!arrives) {
        return;
      }
      send(
          from,
          address,
          () -> {
            if (processCallers.containsKey(address)) {
              Consumer<Caller.Response> delivered =
                  switch (fate) {
                    case ANSWER_LOST -> answer -> {};
                    case ANSWER_RESET -> answer -> once.accept(Caller.Response.NO_RESPONSE);
                    default -> once;
                  };
              processCallers.get(address).call(address, method, path, body, timeoutMs, delivered);
              return;
            }
            Server server = servers.get(address);
            if (server == null) {
              send(address, from, () -> once.accept(Caller.Response.NO_RESPONSE));
              return;
            }
            server.serve(
                from,
                method,
                path,
                body,
                answer -> {
                  if (fate == Fate.ANSWER_LOST) {
                    return;
                  }
                  boolean garble = garbled.contains(address) && answer.body() != null;
                  Caller.Response delivered =
                      garble ? new Caller.Response(answer.status(), GARBLED_BODY) : answer;
                  send(address, from, () -> once.accept(delivered));
                });
          });
    };
  }
}
