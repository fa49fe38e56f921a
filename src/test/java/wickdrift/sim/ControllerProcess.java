package wickdrift.sim;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A real controller process. */
final class ControllerProcess {
  private static final int EXIT_TIMEOUT_S = 8;
  private static final int SIGNAL_TIMEOUT_S = 5;

  /** The same JVM flags as in the deployment, so that the tests run what is deployed. */
  private static final List<String> JVM_FLAGS =
      List.of(
          "-Xms24m",
          "-Xmx112m",
          "-Xss320k",
          "-XX:+UseSerialGC",
          "-XX:MaxDirectMemorySize=16m",
          "-XX:MaxMetaspaceSize=56m",
          "-XX:ReservedCodeCacheSize=24m",
          "-XX:TieredStopAtLevel=1",
          "-XX:CICompilerCount=1",
          "-XX:-UsePerfData",
          "-XX:+ExitOnOutOfMemoryError",
          "-Dio.netty.noUnsafe=false");

  private final Process process;

  private ControllerProcess(Process process) {
    this.process = process;
  }

  /** Starts a process whose output is appended to a log file. */
  static ControllerProcess start(Path jar, Path settings, Path log) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_FLAGS);
    command.addAll(List.of("-jar", jar.toString(), "serve", "--config", settings.toString()));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    return new ControllerProcess(builder.start());
  }

  /** Whether the process runs. */
  boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Ends the process and waits for its exit.
   *
   * @param orderly whether to send SIGTERM, or to kill it at once
   */
  void stop(boolean orderly) throws InterruptedException {
    if (orderly) {
      process.destroy();
    } else {
      process.destroyForcibly();
    }
    if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
      throw new IllegalStateException("process " + process.pid() + " did not exit in time");
    }
  }

  /** Kills the process without waiting for its exit. */
  void destroy() {
    process.destroyForcibly();
  }

  /** Pauses the process (SIGSTOP) until {@link #resume}. */
  void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** Resumes the paused process (SIGCONT). */
  void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
    kill.waitFor(SIGNAL_TIMEOUT_S, TimeUnit.SECONDS);
  }
}
