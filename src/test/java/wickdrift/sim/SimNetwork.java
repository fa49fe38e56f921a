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

  private static final String DIRECT_COMMAND_PATH = "/orders";

  private final SimClock clock;
  private final Random random;
  private final Map<String, Server> servers = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Map<String, List<Runnable>> heldByLink = new HashMap<>();

  /** Hosts that receive nothing, although what they send arrives. */
  final Set<String> inboundBlocked = new HashSet<>();

  /** Hosts whose own requests are lost, although requests to them arrive and are answered. */
  final Set<String> outboundBlocked = new HashSet<>();

  /**
   * Duplicates a share of the requests to a path: a copy arrives within a time at one of the hosts.
   */
  record Duplication(String path, double share, long withinMs, List<String> to) {}

  Duplication duplication;

  /** Delays a share of the requests to a path. They arrive once, and their answers are lost. */
  record RequestDelay(String path, double share, long fromMs, long toMs) {}

  RequestDelay requestDelay;

  /** How many requests arrived late because of {@link #requestDelay}. */
  int delayedCount;

  /** What happens to a request. */
  enum RequestOutcome {
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
    RequestOutcome outcomeOf(String from, String to, String path, byte[] body);

    /** Returns the delay of the next request that is {@link RequestOutcome#LATE}. */
    default long lateMs() {
      return 0;
    }
  }

  FaultScript faultScript = (from, to, path, body) -> RequestOutcome.DELIVERED;

  private final List<Runnable> heldByScript = new ArrayList<>();

  /** Hosts whose answers arrive with a body that cannot be decoded. */
  final Set<String> hostsWithGarbledAnswers = new HashSet<>();

  /** The timeout of a duplicate or late request to a real process. */
  private static final long PROCESS_TIMEOUT_MS = 5000;

  private static final byte[] GARBLED_BODY = {(byte) 0xc1, 7, 7};

  /** The share of the reports that is recorded for {@link #replayRecordedReports}. */
  double recordedReportShare;

  /** How many recorded reports were replayed. */
  int replayedCount;

  private record RecordedReport(String from, String path, byte[] body) {}

  private final List<RecordedReport> recordedReports = new ArrayList<>();

  /** Whether the commands sent straight to workers are kept for {@link #replayDirectCommands}. */
  boolean recordDirectCommands;

  private record DirectCommand(String from, String to, byte[] body) {}

  private final List<DirectCommand> recordedDirectCommands = new ArrayList<>();

  /** The callers of hosts that are real processes, by name. */
  final Map<String, Caller> processCallers = new HashMap<>();

  /** Called with each address at which a server starts to listen. */
  Consumer<String> listenObserver = a -> {};

  /**
   * Copies a share of the commands that are sent straight to workers, whether they arrive and are
   * answered or not. A copy arrives after a random delay, at whatever has the address by then.
   *
   * @param share the share of the commands that is copied
   * @param minDelayMs the shortest delay
   * @param maxDelayMs the longest delay; short ones are as frequent as long ones on a logarithmic
   *     scale
   */
  record DirectCopies(double share, long minDelayMs, long maxDelayMs) {}

  /** Applies unless a test says otherwise. */
  DirectCopies directCopies = new DirectCopies(0.3, 50, 180_000);

  private final Random copyRandom;

  private final MessageVariation variation;

  /** How many copies of direct commands have arrived. */
  int directCopyCount;

  /**
   * Creates a network without servers and without faults other than {@link #directCopies}.
   *
   * @param seed determines which direct commands are copied, and when the copies arrive
   * @param variation rewrites every message that controllers receive
   */
  public SimNetwork(SimClock clock, Random random, long seed, MessageVariation variation) {
    this.clock = clock;
    this.random = random;
    this.copyRandom = new Random(seed);
    this.variation = variation;
  }

  private void copyIfSelected(String from, String to, String path, byte[] body) {
    if (!path.equals(DIRECT_COMMAND_PATH) || copyRandom.nextDouble() >= directCopies.share) {
      return;
    }
    double range = Math.log((double) directCopies.maxDelayMs / directCopies.minDelayMs);
    double delayMs = directCopies.minDelayMs * Math.exp(copyRandom.nextDouble() * range);
    clock.after(
        (long) delayMs,
        () -> {
          if (!cutLinks.contains(linkKey(from, to)) && !inboundBlocked.contains(to)) {
            directCopyCount++;
            deliver(from, to, "POST", DIRECT_COMMAND_PATH, body, answer -> {});
          }
        });
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
  Server serverAt(String address) {
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
    if (duplication != null
        && path.equals(duplication.path)
        && random.nextDouble() < duplication.share) {
      String to = duplication.to.get(random.nextInt(duplication.to.size()));
      clock.after(
          (long) (random.nextDouble() * duplication.withinMs),
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
        faultScript.lateMs(),
        () -> {
          Server current = servers.get(to);
          // A restart closes the connection, and requests on their way are lost, but for commands:
          // the protocol lets them arrive whenever token and session match.
          if (path.equals(DIRECT_COMMAND_PATH)
              || current == null
              || current.incarnation() == incarnation) {
            deliver(from, to, method, path, body, a -> {});
          }
        });
  }

  private void recordIfSelected(String from, String path, byte[] body) {
    if (recordedReportShare > 0
        && path.equals("/hello")
        && random.nextDouble() < recordedReportShare) {
      recordedReports.add(new RecordedReport(from, path, body));
    }
  }

  /** Delivers every recorded report to each of the hosts. */
  void replayRecordedReports(List<String> hosts) {
    for (RecordedReport report : recordedReports) {
      for (String host : hosts) {
        replayedCount++;
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

  private void recordDirectCommand(String from, String to, String path, byte[] body) {
    if (recordDirectCommands && path.equals(DIRECT_COMMAND_PATH)) {
      recordedDirectCommands.add(new DirectCommand(from, to, body));
    }
  }

  /**
   * Delivers every recorded command to an address once more, the newest first; the answers are
   * discarded.
   */
  void replayDirectCommands(String address) {
    for (int i = recordedDirectCommands.size() - 1; i >= 0; i--) {
      DirectCommand command = recordedDirectCommands.get(i);
      if (command.to.equals(address)) {
        deliver(command.from, address, "POST", DIRECT_COMMAND_PATH, command.body, answer -> {});
      }
    }
  }

  /** Delivers every request that the script has held, in order; the answers are discarded. */
  void releaseHeld() {
    long delayMs = 0;
    for (Runnable delivery : heldByScript) {
      delayMs = Math.max(delayMs, transmissionDelayMs());
      clock.after(delayMs, delivery);
    }
    heldByScript.clear();
  }

  private void holdByScript(String from, String to, String method, String path, byte[] body) {
    heldByScript.add(() -> deliver(from, to, method, path, body, answer -> {}));
  }

  private boolean delayIfSelected(
      String from, String address, String method, String path, byte[] body) {
    if (requestDelay == null
        || !path.equals(requestDelay.path)
        || random.nextDouble() >= requestDelay.share) {
      return false;
    }
    long delayMs =
        requestDelay.fromMs
            + (long) (random.nextDouble() * (requestDelay.toMs - requestDelay.fromMs));
    clock.after(
        delayMs,
        () -> {
          Server server = servers.get(address);
          if (server != null && !cutLinks.contains(linkKey(from, address))) {
            delayedCount++;
            server.serve(from, method, path, body, a -> {});
          }
        });
    return true;
  }

  /** Delivers a message after a transmission delay, unless its link is cut or blocked. */
  private void send(String from, String to, Runnable delivery) {
    if (inboundBlocked.contains(to)) {
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
    return (address, method, path, sentBody, timeoutMs, done) -> {
      byte[] body = variation.ofRequest(path, sentBody);
      boolean[] finished = {false};
      Consumer<Caller.Response> once =
          answer -> {
            if (!finished[0] && alive.getAsBoolean()) {
              finished[0] = true;
              done.accept(answer);
            }
          };
      clock.after(timeoutMs, () -> once.accept(Caller.Response.NO_RESPONSE));
      if (outboundBlocked.contains(from)) {
        return;
      }
      duplicateIfSelected(from, method, path, body);
      recordIfSelected(from, path, body);
      recordDirectCommand(from, address, path, body);
      copyIfSelected(from, address, path, body);
      if (delayIfSelected(from, address, method, path, body)) {
        return;
      }
      RequestOutcome fate = faultScript.outcomeOf(from, address, path, body);
      switch (fate) {
        case HELD -> holdByScript(from, address, method, path, body);
        case LATE -> deliverLate(from, address, method, path, body);
        case RESET -> clock.after(1, () -> once.accept(Caller.Response.NO_RESPONSE));
        default -> {}
      }
      boolean arrives =
          fate == RequestOutcome.DELIVERED
              || fate == RequestOutcome.ANSWER_LOST
              || fate == RequestOutcome.ANSWER_RESET;
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
                  if (fate == RequestOutcome.ANSWER_LOST) {
                    return;
                  }
                  boolean garble =
                      hostsWithGarbledAnswers.contains(address) && answer.body() != null;
                  byte[] receivedBody =
                      garble ? GARBLED_BODY : variation.ofAnswer(path, answer.body());
                  Caller.Response delivered = new Caller.Response(answer.status(), receivedBody);
                  send(address, from, () -> once.accept(delivered));
                });
          });
    };
  }
}
