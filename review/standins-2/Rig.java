import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for the state service, the cloud, the workers and the users, on loopback and the real
 * clock, and real controller processes, started with the command of the deploy file. They follow
 * PROTOCOL and DEPLOY; none of the project's classes is used.
 */
final class Rig {
  final Record record;
  final Path tmp;
  final Settings set = new Settings();
  final List<Node> nodes = new ArrayList<>();
  final State state = new State();
  final Cloud cloud = new Cloud();
  final Map<String, Map<String, Object>> specs = new ConcurrentHashMap<>();
  final Gangs gangs = new Gangs();
  volatile boolean closing;
  /** Restarts a controller that has ended, as the platform does; 0: not. */
  volatile long restartMs = 5000;

  private final List<String> runCommand;
  private final ExecutorService pool =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });

  /** What the settings file says. */
  static final class Settings {
    int controllers = 3;
    String[] zones = {"warszawa-a", "warszawa-b", "warszawa-a"};
    String teams =
        "[[cluster.teams]]\nname = \"zespol-skan\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 48.0\ngpus_max = 700.0\n"
            + "[[cluster.teams]]\nname = \"zespol-lustra\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 96.0\ngpus_max = 1000.0\n"
            + "[[cluster.teams]]\nname = \"goscie-lodz\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";
    double reportS = 3, leaseS = 28, gangWaitS = 30, gangPeerS = 5, cancelS = 53;
    double rps = 250, writeRps = 100, valueKb = 32;
    int txnOps = 16;
    String next = "";
    double cloudRps = 4, listLagS = 5;
    double cores = 0.255, memoryMb = 263;
    int fdLimit = 1500;
    String sku = "jodla-32";
    double cpu = 32, gpu = 4, mem = 128, bootS = 35, cacheGb = 150, fetch = 10;
    int machinesUp = 4;
    int capacity = 8;

    /** The settings of ajose-commons. */
    Settings ajose() {
      zones = new String[] {"lagos-1", "abuja-1", "lagos-1"};
      teams =
          "[[cluster.teams]]\nname = \"oluwa-infra\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";
      reportS = 2.5;
      leaseS = 16;
      cancelS = 36;
      rps = 120;
      writeRps = 25;
      valueKb = 4;
      txnOps = 8;
      cloudRps = 8;
      listLagS = 8;
      cores = 0.425;
      fdLimit = 1800;
      sku = "iroko-64";
      cpu = 64;
      gpu = 8;
      mem = 256;
      bootS = 45;
      return this;
    }

    List<String> zoneNames() {
      return new ArrayList<>(new java.util.LinkedHashSet<>(List.of(zones)));
    }
  }

  Rig(Path folder) throws Exception {
    this(new Record(folder.resolve("record.txt")));
  }

  Rig(Record record) throws Exception {
    this.record = record;
    tmp = Files.createTempDirectory("wick-review");
    String toml = Files.readString(Path.of("deploy/service.toml"));
    String run = toml.lines().filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
    run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    runCommand = List.of(run.trim().split("\\s+"));
    if (!new File("target/wickdrift.jar").isFile()) {
      throw new IOException("target/wickdrift.jar is not built");
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Opens the ports, boots the first machines and starts the controllers. */
  void start() throws Exception {
    state.init();
    for (int i = 0; i < set.controllers; i++) {
      nodes.add(new Node(i));
    }
    for (Node n : nodes) {
      n.stateFront = new Server(n.index, state);
    }
    for (String link : proxied) {
      int to = Integer.parseInt(link.split(">")[1]);
      networks.computeIfAbsent(to, k -> new Network());
      links.put(link, new Link(nodes.get(to).back, networks.get(to)));
    }
    cloud.front = new Server(-1, cloud);
    for (int i = 0; i < set.machinesUp; i++) {
      cloud.boot(set.zoneNames().get(i % set.zoneNames().size()), false, 0);
    }
    for (Node n : nodes) {
      n.start();
    }
  }

  void close() {
    closing = true;
    for (Node n : nodes) {
      Process p = n.process;
      if (p != null) {
        p.destroyForcibly();
        try {
          p.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    record.flush();
  }

  /** Waits until all nodes answer 200 to /up. */
  boolean awaitUp(long ms) throws Exception {
    long end = now() + ms;
    while (now() < end) {
      boolean all = true;
      for (Node n : nodes) {
        all &= n.request("GET", "/up", null, 1000).status == 200;
      }
      if (all) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  // ---- record ----

  static final class Record {
    private final PrintWriter out;
    private final long start = now();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void say(String format, Object... args) {
      out.printf(Locale.ROOT, "%8.3f ", (now() - start) / 1000.0);
      out.printf(Locale.ROOT, format + "%n", args);
    }

    synchronized void flush() {
      out.flush();
    }

    double s() {
      return (now() - start) / 1000.0;
    }
  }

  // ---- MessagePack ----

  static final class Msg {
    static byte[] encode(Object v) {
      try {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        write(new DataOutputStream(bytes), v);
        return bytes.toByteArray();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private static void write(DataOutputStream o, Object v) throws IOException {
      if (v == null) {
        o.write(0xc0);
      } else if (v instanceof Boolean b) {
        o.write(b ? 0xc3 : 0xc2);
      } else if (v instanceof String s) {
        byte[] b = s.getBytes(StandardCharsets.UTF_8);
        if (b.length < 32) {
          o.write(0xa0 | b.length);
        } else if (b.length < 256) {
          o.write(0xd9);
          o.write(b.length);
        } else if (b.length < 65536) {
          o.write(0xda);
          o.writeShort(b.length);
        } else {
          o.write(0xdb);
          o.writeInt(b.length);
        }
        o.write(b);
      } else if (v instanceof BigInteger big) {
        o.write(0xcf);
        o.writeLong(big.longValue());
      } else if (v instanceof Double || v instanceof Float) {
        o.write(0xcb);
        o.writeDouble(((Number) v).doubleValue());
      } else if (v instanceof Number n) {
        long l = n.longValue();
        if (l >= 0 && l < 128) {
          o.write((int) l);
        } else if (l >= -32 && l < 0) {
          o.write((int) l);
        } else if (l >= 0 && l < 256) {
          o.write(0xcc);
          o.write((int) l);
        } else if (l >= 0 && l < 65536) {
          o.write(0xcd);
          o.writeShort((int) l);
        } else if (l >= 0 && l < (1L << 32)) {
          o.write(0xce);
          o.writeInt((int) l);
        } else {
          o.write(0xd3);
          o.writeLong(l);
        }
      } else if (v instanceof List<?> l) {
        if (l.size() < 16) {
          o.write(0x90 | l.size());
        } else if (l.size() < 65536) {
          o.write(0xdc);
          o.writeShort(l.size());
        } else {
          o.write(0xdd);
          o.writeInt(l.size());
        }
        for (Object x : l) {
          write(o, x);
        }
      } else if (v instanceof Map<?, ?> m) {
        if (m.size() < 16) {
          o.write(0x80 | m.size());
        } else {
          o.write(0xde);
          o.writeShort(m.size());
        }
        for (Map.Entry<?, ?> e : m.entrySet()) {
          write(o, e.getKey());
          write(o, e.getValue());
        }
      } else {
        throw new IOException("type " + v.getClass());
      }
    }

    static Object decode(byte[] b) throws IOException {
      if (b.length == 0) {
        return Map.of();
      }
      return read(ByteBuffer.wrap(b));
    }

    private static String str(ByteBuffer b, int n) {
      byte[] s = new byte[n];
      b.get(s);
      return new String(s, StandardCharsets.UTF_8);
    }

    private static List<Object> list(ByteBuffer b, int n) throws IOException {
      List<Object> l = new ArrayList<>(n);
      for (int i = 0; i < n; i++) {
        l.add(read(b));
      }
      return l;
    }

    private static Map<String, Object> map(ByteBuffer b, int n) throws IOException {
      Map<String, Object> m = new LinkedHashMap<>();
      for (int i = 0; i < n; i++) {
        String k = (String) read(b);
        m.put(k, read(b));
      }
      return m;
    }

    private static Object read(ByteBuffer b) throws IOException {
      int t = b.get() & 0xff;
      if (t < 0x80) {
        return (long) t;
      } else if (t < 0x90) {
        return map(b, t & 15);
      } else if (t < 0xa0) {
        return list(b, t & 15);
      } else if (t < 0xc0) {
        return str(b, t & 31);
      } else if (t >= 0xe0) {
        return (long) (byte) t;
      }
      switch (t) {
        case 0xc0:
          return null;
        case 0xc2:
          return false;
        case 0xc3:
          return true;
        case 0xca:
          return (double) b.getFloat();
        case 0xcb:
          return b.getDouble();
        case 0xcc:
          return (long) (b.get() & 0xff);
        case 0xcd:
          return (long) (b.getShort() & 0xffff);
        case 0xce:
          return b.getInt() & 0xffffffffL;
        case 0xcf:
        case 0xd3:
          return b.getLong();
        case 0xd0:
          return (long) b.get();
        case 0xd1:
          return (long) b.getShort();
        case 0xd2:
          return (long) b.getInt();
        case 0xd9:
          return str(b, b.get() & 0xff);
        case 0xda:
          return str(b, b.getShort() & 0xffff);
        case 0xdb:
          return str(b, b.getInt());
        case 0xdc:
          return list(b, b.getShort() & 0xffff);
        case 0xdd:
          return list(b, b.getInt());
        case 0xde:
          return map(b, b.getShort() & 0xffff);
        case 0xdf:
          return map(b, b.getInt());
        default:
          throw new IOException("format " + t);
      }
    }

    /** Size as compact JSON. */
    static int json(Object v) {
      if (v instanceof String s) {
        return s.length() + 2;
      } else if (v instanceof Map<?, ?> m) {
        int n = 2;
        for (Map.Entry<?, ?> e : m.entrySet()) {
          n += json(e.getKey()) + 2 + json(e.getValue());
        }
        return n;
      } else if (v instanceof List<?> l) {
        int n = 2;
        for (Object x : l) {
          n += 1 + json(x);
        }
        return n;
      }
      return String.valueOf(v).length();
    }
  }

  // ---- HTTP ----

  static final class Resp {
    final int status;
    final byte[] body;

    Resp(int status, byte[] body) {
      this.status = status;
      this.body = body;
    }

    @SuppressWarnings("unchecked")
    Map<String, Object> map() {
      try {
        Object o = Msg.decode(body);
        return o instanceof Map ? (Map<String, Object>) o : Map.of();
      } catch (IOException | RuntimeException e) {
        return Map.of();
      }
    }
  }

  static Resp resp(int status, Object body) {
    return new Resp(status, Msg.encode(body));
  }

  interface Handler {
    /** Returns the answer; null: none, and the connection is closed. */
    Resp handle(int from, String method, String path, byte[] body) throws Exception;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    int c;
    while ((c = in.read()) != '\n') {
      if (c < 0) {
        throw new EOFException();
      }
      if (c != '\r') {
        b.write(c);
      }
    }
    return b.toString(StandardCharsets.ISO_8859_1);
  }

  /** A server on a free loopback port, with one thread for each connection. */
  final class Server {
    final int port;
    private final ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(int from, Handler handler) throws IOException {
      socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
      port = socket.getLocalPort();
      pool.execute(
          () -> {
            while (!socket.isClosed()) {
              try {
                Socket s = socket.accept();
                open.add(s);
                pool.execute(() -> serve(s, from, handler));
              } catch (IOException e) {
                // closed, or the peer has gone
              }
            }
          });
    }

    void close() {
      try {
        socket.close();
        for (Socket s : open) {
          s.close();
        }
      } catch (IOException e) {
        // closed already
      }
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    private void serve(Socket s, int from, Handler handler) {
      try (s) {
        s.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(s.getInputStream(), 65536);
        OutputStream out = s.getOutputStream();
        while (true) {
          String[] first = line(in).split(" ");
          int length = 0;
          String h;
          while (!(h = line(in)).isEmpty()) {
            String low = h.toLowerCase(Locale.ROOT);
            if (low.startsWith("content-length:")) {
              length = Integer.parseInt(low.substring(15).trim());
            }
          }
          byte[] body = in.readNBytes(length);
          Resp r = handler.handle(from, first[0], first[1], body);
          if (r == null) {
            return;
          }
          byte[] head =
              ("HTTP/1.1 " + r.status + " x\r\nContent-Length: " + r.body.length + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1);
          byte[] all = new byte[head.length + r.body.length];
          System.arraycopy(head, 0, all, 0, head.length);
          System.arraycopy(r.body, 0, all, head.length, r.body.length);
          out.write(all);
          out.flush();
        }
      } catch (Exception e) {
        // the peer has closed the connection
      } finally {
        open.remove(s);
      }
    }
  }

  /** A connection that stays open, for one request at a time. */
  static final class Client {
    private final String host;
    private final int port;
    private Socket socket;
    private InputStream in;
    /** How often a connection was opened. */
    int opened;

    Client(int port) {
      this.host = "127.0.0.1";
      this.port = port;
    }

    /** Status 0: no answer. */
    synchronized Resp request(String method, String path, byte[] body, int timeoutMs) {
      long end = now() + timeoutMs;
      try {
        if (socket == null) {
          Socket s = new Socket();
          s.connect(new InetSocketAddress(host, port), timeoutMs);
          s.setTcpNoDelay(true);
          socket = s;
          in = new BufferedInputStream(s.getInputStream());
          opened++;
        }
        byte[] b = body == null ? new byte[0] : body;
        String head =
            method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: " + b.length
                + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(b);
        socket.getOutputStream().write(all.toByteArray());
        socket.setSoTimeout((int) Math.max(1, end - now()));
        int status = Integer.parseInt(line(in).split(" ")[1]);
        int length = 0;
        boolean close = false;
        String h;
        while (!(h = line(in)).isEmpty()) {
          String low = h.toLowerCase(Locale.ROOT);
          if (low.startsWith("content-length:")) {
            length = Integer.parseInt(low.substring(15).trim());
          }
          close |= low.startsWith("connection:") && low.contains("close");
        }
        byte[] answer = in.readNBytes(length);
        if (close) {
          drop();
        }
        return new Resp(status, answer);
      } catch (IOException | RuntimeException e) {
        drop();
        return new Resp(0, new byte[0]);
      }
    }

    synchronized void drop() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // closed already
      }
      socket = null;
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket()) {
      s.setReuseAddress(true);
      s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return s.getLocalPort();
    }
  }

  /** Proxies of links between controllers, by "FROM>TO"; a link without one is direct. */
  final Map<String, Link> links = new HashMap<>();

  /** The paths to controllers, by the controller's index. */
  final Map<Integer, Network> networks = new HashMap<>();

  /**
   * The path to a controller, which the links to it share. While it is interrupted, packets are
   * held back; they are delivered in the order in which they were sent, also those of a sender that
   * is gone by then.
   */
  final class Network {
    private interface Delivery {
      void run() throws IOException;
    }

    private final java.util.concurrent.LinkedBlockingQueue<Delivery> packets =
        new java.util.concurrent.LinkedBlockingQueue<>();
    private boolean held;

    Network() {
      pool.execute(
          () -> {
            while (!closing) {
              try {
                Delivery next = packets.take();
                awaitRestored();
                next.run();
              } catch (IOException e) {
                // the receiver has closed the connection
              } catch (InterruptedException e) {
                return;
              }
            }
          });
    }

    synchronized void hold(boolean on) {
      held = on;
      notifyAll();
    }

    private synchronized void awaitRestored() throws InterruptedException {
      while (held) {
        wait();
      }
    }
  }

  /** The connections from one controller to another. */
  final class Link {
    final int port;
    private final int target;
    private final Network network;

    Link(int target, Network network) throws IOException {
      this.target = target;
      this.network = network;
      ServerSocket socket = new ServerSocket();
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
      port = socket.getLocalPort();
      pool.execute(
          () -> {
            while (!closing) {
              try {
                Socket from = socket.accept();
                pool.execute(() -> carry(from));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    private void carry(Socket from) {
      try (from) {
        Socket to = new Socket("127.0.0.1", target);
        to.setTcpNoDelay(true);
        try {
          byte[] buffer = new byte[65536];
          int n;
          while ((n = from.getInputStream().read(buffer)) >= 0) {
            byte[] packet = java.util.Arrays.copyOf(buffer, n);
            network.packets.add(() -> to.getOutputStream().write(packet));
          }
        } finally {
          network.packets.add(to::close);
        }
      } catch (IOException e) {
        // one side is gone
      }
    }
  }

  // ---- controllers ----

  final class Node {
    final int index;
    final String name;
    final int port;
    final int back;
    Server stateFront;
    volatile Process process;
    volatile boolean wantUp;
    /** How often the process has ended by itself, and its last exit code. */
    volatile int ends;
    volatile int lastExit;
    private final Client client;

    Node(int index) throws IOException {
      this.index = index;
      this.name = "wick-" + index;
      this.port = freePort();
      this.back = freePort();
      this.client = new Client(port);
    }

    Resp request(String method, String path, byte[] body, int timeoutMs) {
      return client.request(method, path, body, timeoutMs);
    }

    private String settings() {
      StringBuilder t = new StringBuilder();
      t.append("host_name = \"").append(name).append("\"\nlocation = \"").append(set.zones[index]);
      t.append("\"\nserve_on = \"127.0.0.1:").append(port).append("\"\nback = \"127.0.0.1:");
      t.append(back).append("\"\n");
      for (Node n : nodes) {
        if (n != this) {
          Link link = links.get(index + ">" + n.index);
          t.append("[[peers]]\nhost_name = \"").append(n.name).append("\"\nlocation = \"");
          t.append(set.zones[n.index]).append("\"\npeer_addr = \"127.0.0.1:");
          t.append(link == null ? n.back : link.port).append("\"\n");
        }
      }
      t.append("[endpoints]\ncloud = \"").append(cloud.front.address()).append("\"\nstate = \"");
      t.append(stateFront.address()).append("\"\n[cluster]\nnodes = ").append(nodes.size());
      t.append("\nzones = [\"").append(String.join("\", \"", set.zoneNames()));
      t.append("\"]\ntime_bound_ms = 100.0\n").append(set.teams);
      t.append("[[cluster.objectives]]\nkind = \"guarantee\"\nwithin_s = 30.0\nshare = 0.85\n");
      t.append("[cluster.workers]\nreport_s = ").append(set.reportS).append("\nlease_s = ");
      t.append(set.leaseS).append("\ngang_wait_s = ").append(set.gangWaitS);
      t.append("\ngang_peer_s = ").append(set.gangPeerS).append("\ncancel_s = ");
      t.append(set.cancelS).append("\n[cluster.state]\nrps = ").append(set.rps);
      t.append("\nwrite_rps = ").append(set.writeRps).append("\nvalue_kb = ").append(set.valueKb);
      t.append("\ntxn_ops = ").append(set.txnOps).append('\n').append(set.next);
      t.append("[cluster.cloud]\nrps = ").append(set.cloudRps).append("\nlist_lag_s = ");
      t.append(set.listLagS).append("\n[cluster.quota]\ncores = ").append(set.cores);
      t.append("\nmemory_mb = ").append(set.memoryMb).append("\nfd_limit = ").append(set.fdLimit);
      return t.append('\n').toString();
    }

    synchronized void start() throws IOException {
      Path file = tmp.resolve(name + ".toml");
      Files.writeString(file, settings());
      List<String> command = new ArrayList<>(runCommand);
      command.add(file.toString());
      ProcessBuilder b = new ProcessBuilder(command);
      b.environment().put("LOG_LEVEL", System.getenv().getOrDefault("NODE_LOG", "info"));
      b.redirectErrorStream(true);
      b.redirectOutput(ProcessBuilder.Redirect.appendTo(tmp.resolve(name + ".log").toFile()));
      wantUp = true;
      Process p = b.start();
      process = p;
      record.say("controller %s started, pid %d", name, p.pid());
      p.onExit()
          .thenAccept(
              x -> {
                if (closing) {
                  return;
                }
                record.say("controller %s ended, exit code %d%s", name, x.exitValue(),
                    wantUp ? " (by itself)" : "");
                lastExit = x.exitValue();
                if (wantUp && restartMs > 0) {
                  ends++;
                  pool.execute(
                      () -> {
                        try {
                          Thread.sleep(restartMs);
                          if (!closing && wantUp) {
                            start();
                          }
                        } catch (IOException | InterruptedException e) {
                          record.say("restart failed: %s", e);
                        }
                      });
                }
              });
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
      wantUp = false;
      record.say("controller %s killed", name);
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  // ---- state service ----

  final class State implements Handler {
    private final TreeMap<String, Object[]> store = new TreeMap<>(); // value, stamp, lease
    private final List<Object[]> changes = new ArrayList<>(); // key, value, stamp
    private final Map<Long, long[]> leases = new HashMap<>(); // end, life
    private long rev;
    private long lastLease;
    private long dropped; // stamp of the newest change that is no longer kept
    /** Nodes that get 503. */
    final Set<Integer> refused = ConcurrentHashMap.newKeySet();
    double valueKb, rps, writeRps;
    int txnOps;
    private double writeTokens, requestTokens;
    private long tokensAt = now();
    int over429, tooLarge;
    /** Size in bytes of the largest answer to a watch. */
    volatile long largestFollow;
    volatile int commits;

    void init() {
      valueKb = set.valueKb;
      rps = set.rps;
      writeRps = set.writeRps;
      txnOps = set.txnOps;
      writeTokens = writeRps;
      requestTokens = rps;
      pool.execute(
          () -> {
            while (!closing) {
              try {
                Thread.sleep(20);
              } catch (InterruptedException e) {
                return;
              }
              synchronized (State.this) {
                long now = now();
                for (Long id : List.copyOf(leases.keySet())) {
                  if (leases.get(id)[0] <= now) {
                    expire(id);
                  }
                }
              }
            }
          });
    }

    synchronized void lower(double kb, int ops, double writes) {
      valueKb = kb;
      txnOps = ops;
      writeRps = writes;
      writeTokens = Math.min(writeTokens, writes);
    }

    private void expire(long id) {
      leases.remove(id);
      List<String> gone = new ArrayList<>();
      store.forEach(
          (k, e) -> {
            if ((Long) e[2] == id) {
              gone.add(k);
            }
          });
      if (!gone.isEmpty()) {
        rev++;
        gone.forEach(k -> put(k, null, 0L));
        notifyAll();
      }
    }

    private void put(String key, Object value, Long lease) {
      if (value == null) {
        store.remove(key);
      } else {
        store.put(key, new Object[] {value, rev, lease});
      }
      changes.add(new Object[] {key, value, rev});
      if (changes.size() > 10_000) {
        dropped = (Long) changes.remove(0)[2];
      }
    }

    synchronized int count(String prefix) {
      int n = 0;
      for (String k : store.tailMap(prefix).keySet()) {
        if (!k.startsWith(prefix)) {
          break;
        }
        n++;
      }
      return n;
    }

    private void refill() {
      long now = now();
      double dt = (now - tokensAt) / 1000.0;
      tokensAt = now;
      writeTokens = Math.min(writeRps, writeTokens + dt * writeRps);
      requestTokens = Math.min(rps, requestTokens + dt * rps);
    }

    private Resp away() {
      return resp(503, Map.of("error", "away"));
    }

    @Override
    public Resp handle(int from, String method, String path, byte[] body) throws Exception {
      Resp r = answer(from, method, path, body);
      return r;
    }

    @SuppressWarnings("unchecked")
    private synchronized Resp answer(int from, String method, String path, byte[] body)
        throws Exception {
      if (refused.contains(from)) {
        return away();
      }
      refill();
      if (requestTokens < 1) {
        over429++;
        return resp(429, Map.of("error", "requests"));
      }
      requestTokens--;
      if (path.startsWith("/store?")) {
        return list(query(path));
      } else if (path.startsWith("/store/")) {
        Object[] e = store.get(path.substring(7));
        if (e == null) {
          return resp(404, Map.of("ledgerRev", rev));
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("key", path.substring(7));
        m.put("v", e[0]);
        m.put("stamp", e[1]);
        if ((Long) e[2] != 0) {
          m.put("tether", e[2]);
        }
        return resp(200, m);
      } else if (path.startsWith("/follow?")) {
        return follow(from, query(path));
      } else if (path.equals("/grants")) {
        long life = ((Number) ((Map<String, Object>) Msg.decode(body)).get("lifeMs")).longValue();
        leases.put(++lastLease, new long[] {now() + life, life});
        return resp(200, Map.of("tether", lastLease));
      } else if (path.startsWith("/grants/") && method.equals("DELETE")) {
        expire(Long.parseLong(path.split("/")[2]));
        return resp(200, Map.of());
      } else if (path.endsWith("/extend")) {
        long[] l = leases.get(Long.parseLong(path.split("/")[2]));
        if (l == null) {
          return resp(404, Map.of());
        }
        l[0] = now() + l[1];
        return resp(200, Map.of());
      } else if (path.equals("/commit")) {
        return commit((Map<String, Object>) Msg.decode(body));
      }
      return resp(400, Map.of("error", "path"));
    }

    private Map<String, String> query(String path) {
      Map<String, String> m = new HashMap<>();
      for (String p : path.substring(path.indexOf('?') + 1).split("&")) {
        int i = p.indexOf('=');
        m.put(p.substring(0, i), p.substring(i + 1));
      }
      return m;
    }

    private Resp list(Map<String, String> q) {
      String prefix = q.get("prefix");
      String from = q.get("from");
      int most = Math.min(1000, Integer.parseInt(q.getOrDefault("most", "1000")));
      List<Object> out = new ArrayList<>();
      boolean more = false;
      int bytes = 0;
      String start = from != null && from.compareTo(prefix) >= 0 ? from : prefix;
      for (Map.Entry<String, Object[]> e : store.tailMap(start, !start.equals(from)).entrySet()) {
        if (!e.getKey().startsWith(prefix)) {
          break;
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("key", e.getKey());
        m.put("v", e.getValue()[0]);
        m.put("stamp", e.getValue()[1]);
        int size = Msg.json(m);
        if (out.size() >= most || bytes + size > 500_000) {
          more = true;
          break;
        }
        bytes += size;
        out.add(m);
      }
      return resp(200, Map.of("entries", out, "truncated", more, "ledgerRev", rev));
    }

    private Resp follow(int from, Map<String, String> q) throws InterruptedException {
      String prefix = q.get("prefix");
      long after = Long.parseLong(q.get("from"));
      long end = now() + Math.min(60_000, Long.parseLong(q.getOrDefault("holdMs", "0")));
      while (true) {
        // A refused node's open watches wait.
        boolean wait = refused.contains(from);
        if (!wait) {
          if (after < dropped) {
            return resp(410, Map.of());
          }
          List<Object> news = new ArrayList<>();
          for (int i = firstAfter(after); i < changes.size(); i++) {
            Object[] c = changes.get(i);
            if (((String) c[0]).startsWith(prefix)) {
              Map<String, Object> m = new LinkedHashMap<>();
              m.put(c[1] == null ? "delete" : "write", c[0]);
              if (c[1] != null) {
                m.put("v", c[1]);
              }
              m.put("stamp", c[2]);
              news.add(m);
            }
          }
          if (!news.isEmpty() || now() >= end) {
            Resp r = resp(200, Map.of("ledgerRev", rev, "news", news));
            largestFollow = Math.max(largestFollow, r.body.length);
            return r;
          }
        }
        wait(Math.max(1, wait ? 20 : Math.min(1000, end - now())));
      }
    }

    private int firstAfter(long stamp) {
      int lo = 0;
      int hi = changes.size();
      while (lo < hi) {
        int mid = (lo + hi) / 2;
        if ((Long) changes.get(mid)[2] > stamp) {
          hi = mid;
        } else {
          lo = mid + 1;
        }
      }
      return lo;
    }

    @SuppressWarnings("unchecked")
    private Resp commit(Map<String, Object> t) {
      commits++;
      List<Map<String, Object>> when =
          (List<Map<String, Object>>) (List<?>) t.getOrDefault("when", List.of());
      List<Map<String, Object>> then =
          (List<Map<String, Object>>) (List<?>) t.getOrDefault("then", List.of());
      if (then.size() > txnOps || when.size() > 4 * txnOps || Msg.json(t) > 65536) {
        tooLarge++;
        return resp(400, Map.of("error", "too large"));
      }
      for (Map<String, Object> c : then) {
        if (c.get("write") != null && Msg.json(c.get("v")) > valueKb * 1024) {
          tooLarge++;
          return resp(400, Map.of("error", "value too large"));
        }
      }
      if (then.size() > writeTokens) {
        over429++;
        return resp(429, Map.of("error", "writes"));
      }
      writeTokens -= then.size();
      for (Map<String, Object> c : then) {
        Object lease = c.get("tether");
        if (lease != null && !leases.containsKey(((Number) lease).longValue())) {
          return resp(400, Map.of("error", "no such lease"));
        }
      }
      List<Object> failed = new ArrayList<>();
      for (Map<String, Object> c : when) {
        Object[] e = store.get((String) c.get("key"));
        if ((e == null ? 0 : (Long) e[1]) != ((Number) c.get("stamp")).longValue()) {
          failed.add(c.get("key"));
        }
      }
      if (!failed.isEmpty()) {
        return resp(409, Map.of("failed", failed, "ledgerRev", rev));
      }
      if (then.isEmpty()) {
        return resp(200, Map.of("ledgerRev", rev));
      }
      rev++;
      for (Map<String, Object> c : then) {
        if (c.get("write") != null) {
          Object lease = c.get("tether");
          put((String) c.get("write"), c.get("v"), lease == null ? 0L : ((Number) lease).longValue());
        } else {
          put((String) c.get("delete"), null, 0L);
        }
      }
      notifyAll();
      return resp(200, Map.of("ledgerRev", rev));
    }
  }

  // ---- cloud ----

  final class Cloud implements Handler {
    Server front;
    final TreeMap<String, Worker> hosts = new TreeMap<>();
    private final Map<String, List<String>> claims = new HashMap<>();
    private int number;
    /** Whether the cloud has no machine left to give. */
    boolean full;

    synchronized String boot(String zone, boolean spot, long delayMs) {
      String name = String.format("i-%06d", ++number);
      Worker w = new Worker(name, zone, spot, delayMs);
      hosts.put(name, w);
      return name;
    }

    synchronized List<Worker> workers() {
      return new ArrayList<>(hosts.values());
    }

    @Override
    @SuppressWarnings("unchecked")
    public synchronized Resp handle(int from, String method, String path, byte[] body)
        throws Exception {
      if (path.equals("/flavors")) {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("sku", set.sku);
        f.put("cores", set.cpu);
        f.put("gpus", set.gpu);
        f.put("memoryGb", set.mem);
        f.put("localGb", set.cacheGb);
        f.put("fetchGbPerS", set.fetch);
        f.put("rate", 13.23);
        f.put("lowPrice", 5.57);
        f.put("bootS", set.bootS);
        f.put("regions", set.zoneNames());
        return resp(200, Map.of("flavours", List.of(f)));
      }
      if (path.startsWith("/hosts?") || path.equals("/hosts") && method.equals("GET")) {
        List<Object> out = new ArrayList<>();
        for (Worker w : hosts.values()) {
          if (now() - w.rentedAt < set.listLagS * 1000 && w.delayMs > 0) {
            continue;
          }
          Map<String, Object> m = new LinkedHashMap<>();
          m.put("ref", w.name);
          m.put("address", w.server == null ? null : w.server.address());
          m.put("flavour", set.sku);
          m.put("region", w.zone);
          m.put("reclaimable", w.spot);
          boolean listedFailed = w.failedAt > 0 && now() - w.failedAt > set.listLagS * 1000;
          boolean listedUp = w.up || w.failedAt > 0;
          m.put("phase", listedFailed ? "failed" : listedUp ? "running" : "starting");
          m.put("ageS", (now() - w.rentedAt) / 1000.0 + (w.delayMs > 0 ? 0 : 20));
          out.add(m);
        }
        return resp(200, Map.of("hosts", out, "truncated", false));
      }
      Map<String, Object> m = (Map<String, Object>) Msg.decode(body);
      if (path.equals("/hosts/delete")) {
        for (Object name : (List<Object>) m.get("hosts")) {
          Worker w = hosts.remove(name);
          if (w != null) {
            record.say("cloud: %s deleted", name);
            w.terminate();
          }
        }
        return resp(200, Map.of());
      }
      String claim = (String) m.get("claim");
      if (claims.containsKey(claim)) {
        return resp(200, Map.of("hosts", claims.get(claim)));
      }
      int free = full ? 0 : set.capacity - hosts.size();
      int count = (int) Math.min(free, ((Number) m.get("count")).longValue());
      if (count <= 0) {
        return resp(503, Map.of("error", "no capacity"));
      }
      List<String> names = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        names.add(boot((String) m.get("region"), (Boolean) m.get("reclaimable"),
            (long) (set.bootS * 1000)));
      }
      record.say("cloud: rented %s", names);
      claims.put(claim, names);
      return resp(200, Map.of("hosts", names));
    }
  }

  // ---- gangs ----

  /** Gang attempts: their tasks start and complete together. */
  final class Gangs {
    private final Map<String, Map<String, Task>> waiting = new HashMap<>();

    synchronized void ready(Task t) {
      String key = t.job + "#" + t.attempt;
      Map<String, Task> all = waiting.computeIfAbsent(key, k -> new HashMap<>());
      all.put(t.shard, t);
      int size = ((Number) specs.get(t.job).get("shards")).intValue();
      if (all.size() == size) {
        double s = ((Number) specs.get(t.job).get("expectS")).doubleValue();
        record.say("gang %s attempt %d runs, %d tasks", t.job, t.attempt, size);
        for (Task x : all.values()) {
          x.phase = "running";
          x.endAt = now() + (long) (s * 1000);
        }
      }
    }

    synchronized void gone(Task t) {
      Map<String, Task> all = waiting.get(t.job + "#" + t.attempt);
      if (all == null || all.remove(t.shard) == null) {
        return;
      }
      for (Task x : all.values()) {
        if (x.phase.equals("running") && !"done".equals(t.why)) {
          x.lostAt = x.lostAt == 0 ? now() + (long) (set.gangPeerS * 1000) : x.lostAt;
        }
      }
    }
  }

  // ---- workers ----

  /** A start of a task: from this moment on it is on its machine. */
  static final class Start {
    final String shard;
    final long attempt;
    final String machine;
    final long at = now();

    /** The other machines that the task is on at that moment. */
    final Set<String> others;

    Start(String shard, long attempt, String machine, Set<String> others) {
      this.shard = shard;
      this.attempt = attempt;
      this.machine = machine;
      this.others = others;
    }
  }

  /** The machines that each task is on: from when it has its image until it exits or is killed. */
  private final Map<String, Set<String>> onMachines = new ConcurrentHashMap<>();

  private void started(String shard, long attempt, String machine) {
    Set<String> machines = onMachines.computeIfAbsent(shard, k -> ConcurrentHashMap.newKeySet());
    Set<String> others = new HashSet<>(machines);
    others.remove(machine);
    machines.add(machine);
    starts.add(new Start(shard, attempt, machine, others));
  }

  /** A direct command that a worker carried out. */
  static final class Carried {
    final Worker worker;
    final byte[] body;
    final List<String> runs = new ArrayList<>();

    Carried(Worker worker, byte[] body) {
      this.worker = worker;
      this.body = body;
    }
  }

  /** Nodes between which and the workers nothing passes. */
  final Set<Integer> cutNodes = ConcurrentHashMap.newKeySet();

  /** Whether direct commands, which only the machines' owner sends, get lost. */
  volatile boolean commandsLost;

  /** The reports that a node has passed on in vain: node, machine, and when they were sent. */
  final List<Object[]> passedOn = new CopyOnWriteArrayList<>();

  /** The links "FROM>TO" that go through a proxy. */
  List<String> proxied = List.of();

  final List<Start> starts = new CopyOnWriteArrayList<>();
  final List<Carried> carried = new CopyOnWriteArrayList<>();

  static final class Task {
    String job;
    String shard;
    long attempt;
    volatile String phase = "pulling";
    String why;
    volatile long readyAt, endAt, waitUntil, lostAt;
  }

  final class Worker implements Handler {
    final String name;
    final String zone;
    final boolean spot;
    final long rentedAt = now();
    final long delayMs;
    volatile boolean up;
    volatile boolean gone;
    volatile Server server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> done = new HashSet<>();
    private final Set<String> images = new HashSet<>();
    private long tenure = 1, tick, epoch, leaseStart;
    private int node;
    int started, killedByLease, badReports, okReports;
    long largestReport;

    Worker(String name, String zone, boolean spot, long delayMs) {
      this.name = name;
      this.zone = zone;
      this.spot = spot;
      this.delayMs = delayMs;
      pool.execute(
          () -> {
            try {
              Thread.sleep(delayMs);
              if (gone) {
                return;
              }
              server = new Server(-1, this);
              up = true;
              leaseStart = now();
              pool.execute(this::runTasks);
              reportLoop();
            } catch (Exception e) {
              if (!closing) {
                record.say("worker %s: %s", name, e);
              }
            }
          });
    }

    volatile long failedAt;

    /** The machine stops on its own, with all that is on it. */
    void fail() {
      failedAt = now();
      terminate();
    }

    void terminate() {
      gone = true;
      up = false;
      synchronized (this) {
        tasks.values().forEach(t -> leave(t, "gone"));
        tasks.clear();
      }
      if (server != null) {
        server.close();
      }
    }

    private void leave(Task t, String why) {
      Set<String> machines = onMachines.get(t.shard);
      if (machines != null) {
        machines.remove(name);
      }
      if (specs.get(t.job) != null && "ensemble".equals(specs.get(t.job).get("shape"))) {
        if (t.why == null) {
          t.why = why;
        }
        gangs.gone(t);
      }
    }

    synchronized boolean has(String shard) {
      return tasks.containsKey(shard);
    }

    synchronized int running() {
      int n = 0;
      for (Task t : tasks.values()) {
        n += t.phase.equals("ended") ? 0 : 1;
      }
      return n;
    }

    private synchronized Map<String, Object> report() {
      tick++;
      List<Object> list = new ArrayList<>();
      for (Task t : tasks.values()) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("shard", t.shard);
        m.put("try", t.attempt);
        m.put("phase", t.phase);
        if (t.why != null) {
          m.put("exitReason", t.why);
        }
        list.add(m);
      }
      Map<String, Object> m = new LinkedHashMap<>();
      m.put("host", name);
      m.put("address", server.address());
      m.put("flavour", set.sku);
      m.put("region", zone);
      m.put("reclaimable", spot);
      m.put("tenure", tenure);
      m.put("tick", tick);
      m.put("epoch", epoch);
      m.put("warningS", null);
      m.put("shards", list);
      return m;
    }

    private synchronized void checkLease() {
      if (now() - leaseStart > set.leaseS * 1000) {
        int n = 0;
        for (Task t : tasks.values()) {
          n += t.phase.equals("ended") ? 0 : 1;
          leave(t, "lease");
        }
        if (n > 0) {
          record.say("worker %s: lease expired, %d tasks killed", name, n);
        }
        killedByLease += n;
        tasks.clear();
        tenure++;
        leaseStart = now();
      }
    }

    private volatile boolean changed;

    /** The node that the open report went to, and since when; -1: none is open. */
    volatile int openTo = -1;

    volatile long openSince;

    private void reportLoop() throws Exception {
      java.util.Random random = new java.util.Random(name.hashCode());
      node = random.nextInt(nodes.size());
      Client client = null;
      int connected = -1;
      while (!gone && !closing) {
        if (connected != node || client == null) {
          if (client != null) {
            client.drop();
          }
          client = new Client(nodes.get(node).port);
          connected = node;
        }
        checkLease();
        changed = false;
        long sentAt = now();
        Map<String, Object> report = report();
        long sentTenure = (Long) report.get("tenure");
        byte[] body = Msg.encode(report);
        largestReport = Math.max(largestReport, body.length);
        Resp r;
        if (cutNodes.contains(node)) {
          // The connection hangs.
          Thread.sleep(4000);
          r = new Resp(0, new byte[0]);
          client.drop();
        } else {
          openSince = now();
          openTo = node;
          r = client.request("POST", "/hello", body, 4000);
          openTo = -1;
          if (r.status == 421 && now() - openSince > 1000) {
            passedOn.add(new Object[] {node, name, openSince});
          }
        }
        long pause;
        if (r.status == 200) {
          okReports++;
          Map<String, Object> a = r.map();
          synchronized (this) {
            Object e = a.get("epoch");
            if (sentTenure == tenure && e != null && ((Number) e).longValue() >= epoch) {
              epoch = ((Number) e).longValue();
              leaseStart = Math.max(leaseStart, sentAt);
              apply(a);
            }
          }
          pause = (long) (set.reportS * 1000 * (0.75 + random.nextDouble() / 2));
          long end = sentAt + pause;
          while (now() < end && !(changed && now() - sentAt > 500)) {
            Thread.sleep(20);
            checkLease();
          }
          continue;
        }
        if (r.status == 421 && r.map().get("upstream") != null) {
          int to = -1;
          for (Node n : nodes) {
            to = n.name.equals(r.map().get("upstream")) ? n.index : to;
          }
          if (to >= 0 && to != node) {
            node = to;
            Thread.sleep(random.nextInt(500));
            continue;
          }
        }
        if (r.status == 400) {
          badReports++;
          record.say("worker %s: report of %d bytes, %d tasks, answered 400 by %s", name,
              body.length, tasks.size(), nodes.get(node).name);
        }
        node = (node + 1) % nodes.size();
        Thread.sleep(1000);
      }
    }

    @SuppressWarnings("unchecked")
    private synchronized void apply(Map<String, Object> message) {
      for (Object o : (List<Object>) message.getOrDefault("orders", List.of())) {
        Map<String, Object> c = (Map<String, Object>) o;
        String shard = (String) c.get("shard");
        long attempt = ((Number) c.get("try")).longValue();
        Task t = tasks.get(shard);
        switch ((String) c.get("verb")) {
          case "run" -> {
            if (t == null || t.attempt != attempt) {
              run(shard, attempt, t);
            }
          }
          case "halt" -> {
            if (t != null && t.attempt == attempt && !t.phase.equals("ended")) {
              t.phase = "ended";
              t.why = "halted";
              leave(t, "halted");
            }
          }
          case "clear" -> {
            if (t != null && t.attempt == attempt && t.phase.equals("ended")) {
              tasks.remove(shard);
            }
          }
          default -> throw new IllegalStateException("verb");
        }
      }
    }

    private void run(String shard, long attempt, Task old) {
      Task t = new Task();
      t.shard = shard;
      t.job = shard.substring(0, shard.indexOf('/'));
      t.attempt = attempt;
      changed = true;
      if (old != null && !old.phase.equals("ended")) {
        return;
      }
      Map<String, Object> spec = specs.get(t.job);
      tasks.put(shard, t);
      if (spec == null) {
        t.phase = "ended";
        t.why = "unknown";
        return;
      }
      double c = 0;
      double g = 0;
      double m = 0;
      for (Task x : tasks.values()) {
        if (!x.phase.equals("ended")) {
          Map<String, Object> s = specs.get(x.job);
          c += ((Number) s.get("cores")).doubleValue();
          g += ((Number) s.get("gpus")).doubleValue();
          m += ((Number) s.get("memoryGb")).doubleValue();
        }
      }
      if (c > set.cpu + 1e-6 || g > set.gpu + 1e-6 || m > set.mem + 1e-6) {
        t.phase = "ended";
        t.why = "full";
        return;
      }
      started++;
      if (images.contains(spec.get("bundle"))) {
        if (!"ensemble".equals(spec.get("shape"))) {
          imageReady(t, spec);
        }
        return;
      }
      t.readyAt = now() + (long) (1000 * ((Number) spec.get("pullGb")).doubleValue() / set.fetch);
    }

    /** The task is on the machine from now on; not for the tasks of gangs, which gather first. */
    private void imageReady(Task t, Map<String, Object> spec) {
      started(t.shard, t.attempt, name);
      if (done.contains(t.shard)) {
        t.phase = "ended";
        t.why = "done";
        leave(t, "done");
        return;
      }
      t.phase = "running";
      t.endAt =
          "daemon".equals(spec.get("shape"))
              ? Long.MAX_VALUE
              : now() + (long) (1000 * ((Number) spec.get("expectS")).doubleValue());
    }

    private void runTasks() {
      while (!gone && !closing) {
        try {
          Thread.sleep(20);
        } catch (InterruptedException e) {
          return;
        }
        List<Task> gathered = new ArrayList<>();
        synchronized (this) {
          for (Task t : tasks.values()) {
            Map<String, Object> spec = specs.get(t.job);
            if (t.phase.equals("pulling") && now() >= t.readyAt) {
              changed = true;
              images.add((String) spec.get("bundle"));
              if ("ensemble".equals(spec.get("shape")) && !done.contains(t.shard)) {
                started(t.shard, t.attempt, name);
                t.phase = "gathering";
                t.waitUntil = now() + (long) (set.gangWaitS * 1000);
                gathered.add(t);
              } else {
                imageReady(t, spec);
              }
            } else if (t.phase.equals("gathering") && now() >= t.waitUntil) {
              changed = true;
              t.phase = "ended";
              t.why = "alone";
              leave(t, "alone");
            } else if (t.phase.equals("running") && t.lostAt > 0 && now() >= t.lostAt) {
              changed = true;
              t.phase = "ended";
              t.why = "mates_gone";
              leave(t, "mates_gone");
            } else if (t.phase.equals("running") && now() >= t.endAt) {
              changed = true;
              t.phase = "ended";
              t.why = "done";
              done.add(t.shard);
              leave(t, "done");
            }
          }
        }
        gathered.forEach(gangs::ready);
      }
    }

    @Override
    @SuppressWarnings("unchecked")
    public synchronized Resp handle(int from, String method, String path, byte[] body)
        throws Exception {
      if (gone) {
        return null;
      }
      if (commandsLost) {
        return null;
      }
      if (path.equals("/show")) {
        return resp(200, report());
      }
      Map<String, Object> m = (Map<String, Object>) Msg.decode(body);
      if (m.get("epoch") == null || m.get("tenure") == null) {
        return resp(400, Map.of());
      }
      checkLease();
      if (((Number) m.get("epoch")).longValue() < epoch
          || ((Number) m.get("tenure")).longValue() != tenure) {
        return resp(409, report());
      }
      epoch = ((Number) m.get("epoch")).longValue();
      Carried c = new Carried(this, body);
      for (Object o : (List<Object>) m.getOrDefault("orders", List.of())) {
        if ("run".equals(((Map<String, Object>) o).get("verb"))) {
          c.runs.add((String) ((Map<String, Object>) o).get("shard"));
        }
      }
      if (!c.runs.isEmpty()) {
        carried.add(c);
      }
      apply(m);
      return resp(200, report());
    }
  }

  // ---- users ----

  /** A submission with every field. */
  Map<String, Object> job(int number, String shape, int shards, double cores, double gpus,
      double memoryGb, double runS, String owner) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("ref", String.format("req-%06d", number));
    m.put("jobclass", shape);
    m.put("owner", owner);
    m.put("shape", shape);
    m.put("rank", "standard");
    m.put("shards", shards);
    m.put("cores", cores);
    m.put("gpus", gpus);
    m.put("memoryGb", memoryGb);
    m.put("bundle", "img-07");
    m.put("pullGb", 1.0);
    m.put("flavours", null);
    m.put("region", null);
    m.put("oneZone", false);
    m.put("apart", false);
    m.put("reclaimable", false);
    m.put("expectS", runS);
    m.put("checkpointEveryS", 0.0);
    m.put("flushS", 0.0);
    m.put("dueS", null);
    specs.put((String) m.get("ref"), m);
    return m;
  }

  /**
   * Submits as a user does: repeats after 429, 503, 504 or no answer for up to 60 s, at node after
   * node. Returns the last status.
   */
  int submit(Client[] clients, int first, Map<String, Object> job) throws InterruptedException {
    byte[] body = Msg.encode(job);
    long end = now() + 60_000;
    int status = 0;
    for (int i = first; now() < end && !closing; i++) {
      status = clients[i % clients.length].request("POST", "/api/jobs", body, 5000).status;
      if (status == 200 || status == 201 || status == 400 || status == 422) {
        return status;
      }
      Thread.sleep(1000);
    }
    return status;
  }

  Client[] clients() {
    Client[] c = new Client[nodes.size()];
    for (Node n : nodes) {
      c[n.index] = new Client(n.port);
    }
    return c;
  }

  void background(Runnable r) {
    pool.execute(r);
  }

  /** Prints the last lines of the controllers' logs into the record. */
  void recordLogs(int lines) throws IOException {
    for (Node n : nodes) {
      Path log = tmp.resolve(n.name + ".log");
      if (Files.isRegularFile(log)) {
        List<String> all = Files.readAllLines(log);
        record.say("last lines of the log of %s:", n.name);
        all.subList(Math.max(0, all.size() - lines), all.size())
            .forEach(l -> record.say("    %s", l));
      }
    }
  }
}
