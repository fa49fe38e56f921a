package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wickdrift.protocol.MessageCodec;

/** What clients send to real processes of the built jar, beside stand-ins for all the rest. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ClientInputIT {
  private static final Path JAR = Path.of("target", "wickdrift.jar");
  private static final Path FOLDER = Path.of("target", "client-input-it");
  private static final String NODE = "n0";
  private static final int USER_TIMEOUT_MS = 5000;
  private static final int START_TIMEOUT_S = 30;

  /** Twice the sockets that a controller may open. */
  private static final int UNFINISHED_REQUESTS = 2000;

  private static final int REQUESTS_BESIDE = 20;
  private static final long REQUEST_INTERVAL_MS = 200;
  private static final int CHANGED_MESSAGES = 2000;

  private LoopbackStage stage;
  private RequestProbe probe;
  private int nextJob = 1;

  @BeforeAll
  void startControllers() throws Exception {
    stage = new LoopbackStage(new SimSetup(70, 10, 10).controllers("aab"), FOLDER);
    stage.awaitPorts();
    for (String node : stage.world.nodes) {
      Files.deleteIfExists(stage.logFile(node));
      stage.start(node, JAR);
    }
    probe = new RequestProbe(stage.addressOf(NODE), USER_TIMEOUT_MS);
    for (int i = 0; probe.request("GET", "/up", new byte[0]) != 200; i++) {
      assertTrue(i < START_TIMEOUT_S, "the controller does not come up");
      TimeUnit.SECONDS.sleep(1);
    }
    // The workers' reports have to be answered once before anything can be lost.
    TimeUnit.SECONDS.sleep(5);
  }

  @AfterAll
  void endControllers() {
    stage.close();
  }

  private byte[] nextSubmission() throws Exception {
    Map<String, Object> job = SimJobs.job(nextJob++, "batch", 1, 1, 2);
    return stage.callOnLoop(() -> stage.world.users.registerSpec(job));
  }

  /** 200: the answer to the write came late, and the job is answered from its record. */
  private void assertAccepted(byte[] submission) {
    int status = probe.request("POST", "/api/jobs", submission);
    assertTrue(status == 201 || status == 200, "the submission got " + status);
  }

  private List<String> logLines(String text) throws Exception {
    List<String> found = new ArrayList<>();
    for (String node : stage.world.nodes) {
      try (var lines = Files.lines(stage.logFile(node))) {
        lines.filter(line -> line.contains(text)).forEach(found::add);
      }
    }
    return found;
  }

  @Test
  void theRefusedSubmissionOfTheIncidentIsAcceptedByARealProcess() throws Exception {
    stage.callOnLoop(() -> stage.world.users.registerSpec(SimJobs.job(427_622, "batch", 2, 1, 4)));
    assertAccepted(SoundSubmissionTest.incidentSubmission());
  }

  @ParameterizedTest
  @EnumSource
  void unfinishedRequestsKeepNoUserProbeOrWorkerOut(UnfinishedRequests.Kind kind) throws Exception {
    int lostBefore = stage.callOnLoop(stage.world::killedByLease);
    int viewsBefore = logLines("view changed").size();
    try (UnfinishedRequests load =
        new UnfinishedRequests(stage.addressOf(NODE), kind, UNFINISHED_REQUESTS)) {
      for (int i = 0; i < REQUESTS_BESIDE; i++) {
        TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MS);
        assertEquals(200, probe.request("GET", "/up", new byte[0]), "probe " + i);
        assertAccepted(nextSubmission());
      }
      assertTrue(load.openedCount() >= UNFINISHED_REQUESTS, "the load was not there");
    }
    assertEquals(lostBefore, stage.callOnLoop(stage.world::killedByLease));
    assertEquals(viewsBefore, logLines("view changed").size(), "the view changed");
    assertEquals(List.of(), stage.callOnLoop(stage.world::violations));
  }

  @Test
  void nothingThatAUserSendsForgesALogLine() throws Exception {
    String forged = "req-1\nERROR Forged - all is lost";
    Map<String, Object> job = SimJobs.job(1, "batch", 1, 1, 2);
    job.put("ref", forged);
    assertEquals(400, probe.request("POST", "/api/jobs", MessageCodec.encode(job)));
    job.put("ref", "req-000001");
    job.put("rank", forged);
    job.put(forged, forged);
    assertEquals(400, probe.request("POST", "/api/jobs", MessageCodec.encode(job)));
    probe.request("GET", "/api/jobs/req-1%0aERROR%20Forged", new byte[0]);
    assertTrue(logLines("cause=rank is unknown").size() == 1, "the refusal is not in the log");
    assertEquals(List.of(), logLines("Forged"));
  }

  /** Changes some bytes of sound messages, at the users' port and at that of the controllers. */
  @Test
  void changedMessagesEndNoThreadAndChangeNothing() throws Exception {
    Random random = new Random(70);
    byte[] sound = nextSubmission();
    for (int i = 0; i < CHANGED_MESSAGES; i++) {
      byte[] body = sound.clone();
      for (int changes = 1 + random.nextInt(4); changes > 0; changes--) {
        body[random.nextInt(body.length)] = (byte) random.nextInt(256);
      }
      String path = random.nextBoolean() ? "/api/jobs" : "/hello";
      String head = "POST " + path + " HTTP/1.1\r\nContent-Length: " + body.length + "\r\n\r\n";
      byte[] request = new byte[head.length() + body.length];
      System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, request, 0, head.length());
      System.arraycopy(body, 0, request, head.length(), body.length);
      if (random.nextInt(8) == 0) {
        request[random.nextInt(head.length())] = (byte) random.nextInt(256);
        sendWithoutAnswer(stage.addressOf(NODE), request);
      } else {
        assertTrue(probe.send(request) > 0, "no answer to message " + i);
      }
      if (random.nextInt(8) == 0) {
        byte[] frame = new byte[random.nextInt(200)];
        random.nextBytes(frame);
        sendWithoutAnswer(stage.peerAddressOf(NODE), frame);
      }
    }
    assertEquals(200, probe.request("GET", "/up", new byte[0]));
    assertAccepted(nextSubmission());
    assertTrue(stage.process(NODE).isAlive());
    assertEquals(List.of(), logLines("ERROR"));
    assertEquals(List.of(), logLines("Exception"));
    assertEquals(List.of(), stage.callOnLoop(stage.world::violations));
  }

  private static void sendWithoutAnswer(InetSocketAddress address, byte[] bytes) throws Exception {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.getOutputStream().write(bytes);
    }
  }
}
