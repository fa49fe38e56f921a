package wickdrift.sim;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A real controller process, with its settings file and its log. */
final class ControllerProcess {
  private static final int EXIT_TIMEOUT_S = 8;
  private static final int SIGNAL_TIMEOUT_S = 5;

  /** As the deployment's own, so that what is tested is what runs. */
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

  /** Starts one; its log is appended to a file. */
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

  boolean alive() {
    return process.isAlive();
  }

  /** Ends it: with SIGTERM, or at once and without a chance to do anything. */
  void end(boolean orderly) throws InterruptedException {
    if (orderly) {
      process.destroy();
    } else {
      process.destroyForcibly();
    }
    if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
      throw new IllegalStateException("process " + process.pid() + " does not end");
    }
  }

  /** Without waiting, whatever state it is in. */
  void destroy() {
    process.destroyForcibly();
  }

  /** It stands still until it is resumed. */
  void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
    kill.waitFor(SIGNAL_TIMEOUT_S, TimeUnit.SECONDS);
  }
}
