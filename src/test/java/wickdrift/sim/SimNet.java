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

/** A network of hosts by name: delays, cuts that lose, and cuts that hold back and deliver late. */
public final class SimNet {
  /** What listens at an address. */
  public interface Server {
    void serve(String from, String method, String path, byte[] body, Consumer<Caller.Answer> done);

    /** Grows when what listens begins anew: what was on its way to the one before is lost. */
    default long incarnation() {
      return 0;
    }
  }

  private final SimClock clock;
  private final Random random;
  private final Map<String, Server> servers = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Map<String, List<Runnable>> heldByLink = new HashMap<>();

  /** Hosts that nothing reaches, though what they send arrives. */
  final Set<String> deaf = new HashSet<>();

  /** Hosts whose own requests reach nobody, though what is sent to them arrives and is answered. */
  final Set<String> mute = new HashSet<>();

  /**
   * A share of the requests to a path comes again, so much later at most, to one of these hosts.
   */
  record Copies(String path, double share, long withinMs, List<String> to) {}

  Copies copies;

  /**
   * A share of the requests to a path is held up on its way and arrives once, so much later; nobody
   * gets an answer.
   */
  record Delay(String path, double share, long fromMs, long toMs) {}

  Delay delay;

  /** Requests that arrived late by {@link #delay}. */
  int delayed;

  /** What becomes of one request. */
  enum Fate {
    DELIVERED,
    /** It waits, unanswered, until {@link #releaseHeld} is called. */
    HELD,
    /** It arrives, and its answer does not. */
    ANSWER_LOST,
    /** It arrives, and the connection is reset before its answer comes. */
    ANSWER_RESET,
    /** It arrives so much later as {@link FaultScript#lateMs} says, and nobody gets an answer. */
    LATE,
    /** It never arrives. */
    LOST,
    /** The connection is reset. */
    RESET
  }

  /** Decides the fate of each request. */
  interface FaultScript {
    Fate fateOf(String from, String to, String path, byte[] body);

    /** How late the next request that is {@link Fate#LATE} arrives. */
    default long lateMs() {
      return 0;
    }
  }

  FaultScript script = (from, to, path, body) -> Fate.DELIVERED;

  private final List<Runnable> heldByScript = new ArrayList<>();

  /** Hosts whose answers arrive as something that nobody can read. */
  final Set<String> garbled = new HashSet<>();

  /** How long a copy or a late request may take at a real process. */
  private static final long PROCESS_TIMEOUT_MS = 5000;

  private static final byte[] GARBLED_BODY = {(byte) 0xc1, 7, 7};

  /** Of this share of the reports a copy is kept until somebody releases it. */
  double keepShare;

  /** Copies that were released. */
  int released;

  private record RecordedReport(String from, String path, byte[] body) {}

  private final List<RecordedReport> recordedReports = new ArrayList<>();

  /** Hosts that are real processes, by name: how to call them. */
  final Map<String, Caller> processCallers = new HashMap<>();

  /** Told of whatever begins to listen. */
  Consumer<String> listenObserver = a -> {};

  public SimNet(SimClock clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  public void listen(String address, Server server) {
    servers.put(address, server);
    listenObserver.accept(address);
  }

  public void close(String address) {
    servers.remove(address);
  }

  /** What listens at an address, or null. */
  Server at(String address) {
    return servers.get(address);
  }

  private static String linkKey(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  /** Cuts two hosts from each other; requests sent meanwhile are lost, or held until healed. */
  public void cut(String a, String b, boolean holdRequests) {
    cutLinks.add(linkKey(a, b));
    if (holdRequests) {
      heldByLink.putIfAbsent(linkKey(a, b), new ArrayList<>());
    }
  }

  /** Joins two hosts again; what was held back arrives. */
  public void heal(String a, String b) {
    cutLinks.remove(linkKey(a, b));
    List<Runnable> heldRequests = heldByLink.remove(linkKey(a, b));
    if (heldRequests != null) {
      heldRequests.forEach(request -> clock.after(transmissionDelayMs(), request));
    }
  }

  private long transmissionDelayMs() {
    // Now and then a message is lost and sent again.
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

  /** Hands a request to whatever is at an address. */
  private void deliver(
      String from,
      String to,
      String method,
      String path,
      byte[] body,
      Consumer<Caller.Answer> done) {
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
          // A connection to one that began anew meanwhile is gone, with all that was on its way.
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

  /** Every copy that was kept arrives at each of these hosts. */
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

  /** Every request that the script held arrives; nobody waits for its answer any more. */
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

  /** The caller's end for one host; {@code alive} tells whether the calling process still runs. */
  public Caller caller(String from, BooleanSupplier alive) {
    return (address, method, path, body, timeoutMs, done) -> {
      boolean[] finished = {false};
      Consumer<Caller.Answer> once =
          a -> {
            if (!finished[0] && alive.getAsBoolean()) {
              finished[0] = true;
              done.accept(a);
            }
          };
      clock.after(timeoutMs, () -> once.accept(Caller.Answer.NONE));
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
        case RESET -> clock.after(1, () -> once.accept(Caller.Answer.NONE));
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
              Consumer<Caller.Answer> delivered =
                  switch (fate) {
                    case ANSWER_LOST -> a -> {};
                    case ANSWER_RESET -> a -> once.accept(Caller.Answer.NONE);
                    default -> once;
                  };
              processCallers.get(address).call(address, method, path, body, timeoutMs, delivered);
              return;
            }
            Server server = servers.get(address);
            if (server == null) {
              send(address, from, () -> once.accept(Caller.Answer.NONE));
              return;
            }
            server.serve(
                from,
                method,
                path,
                body,
                a -> {
                  if (fate == Fate.ANSWER_LOST) {
                    return;
                  }
                  boolean garble = garbled.contains(address) && a.body() != null;
                  Caller.Answer delivered =
                      garble ? new Caller.Answer(a.status(), GARBLED_BODY) : a;
                  send(address, from, () -> once.accept(delivered));
                });
          });
    };
  }
}
