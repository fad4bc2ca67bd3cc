package org.cuminlatch.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A Java program that runs in a separate process. */
public final class ChildProcess implements AutoCloseable {

  private static final List<String> JAVA_COMMAND =
      List.of(
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-Xmx48m",
          "-Xss512k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-cp",
          System.getProperty("java.class.path"));
  private static final long EXIT_TIMEOUT_SECONDS = 10;

  private final Process process;

  private ChildProcess(Process process) {
    this.process = process;
  }

  static ChildProcess start(Path output, String mainClass, List<String> arguments) {
    List<String> command = new ArrayList<>(JAVA_COMMAND);
    command.add(mainClass);
    command.addAll(arguments);
    try {
      return new ChildProcess(
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
              .start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Waits for the process to exit and kills it if it does not exit within the timeout.
   *
   * @param timeoutSeconds timeout in seconds
   * @return its exit code
   * @throws IllegalStateException if it did not exit within the timeout
   * @throws InterruptedException if the thread is interrupted
   */
  public int waitForExit(long timeoutSeconds) throws InterruptedException {
    if (!process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new IllegalStateException(
          "process did not exit within " + timeoutSeconds + " s and was killed");
    }
    return process.exitValue();
  }

  /**
   * Kills the process with SIGKILL.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Requests termination with SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /**
   * Pauses the process with SIGSTOP.
   *
   * @throws IOException if the signal cannot be sent
   * @throws InterruptedException if the thread is interrupted
   */
  public void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /**
   * Resumes the process with SIGCONT.
   *
   * @throws IOException if the signal cannot be sent
   * @throws InterruptedException if the thread is interrupted
   */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  long pid() {
    return process.pid();
  }

  private void signal(String signalName) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
