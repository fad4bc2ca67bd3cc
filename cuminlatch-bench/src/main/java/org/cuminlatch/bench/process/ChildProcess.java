package org.cuminlatch.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A Java program that runs as a process of its own. */
public final class ChildProcess implements AutoCloseable {

  private static final List<String> JVM =
      List.of(
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-Xmx48m",
          "-Xss512k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-cp",
          System.getProperty("java.class.path"));
  private static final long END_SECONDS = 10;

  private final Process process;

  private ChildProcess(Process process) {
    this.process = process;
  }

  static ChildProcess start(Path output, String mainClass, List<String> arguments) {
    List<String> command = new ArrayList<>(JVM);
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
   * Waits for the program to end.
   *
   * @param seconds longest wait
   * @return its exit code
   * @throws InterruptedException if the thread is interrupted
   */
  public int join(long seconds) throws InterruptedException {
    if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new IllegalStateException("process did not end within " + seconds + " s");
    }
    return process.exitValue();
  }

  /**
   * Ends the program by SIGKILL.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS);
  }

  /** Asks the program to end by SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /**
   * Stops the program by SIGSTOP.
   *
   * @throws IOException if no signal can be sent
   * @throws InterruptedException if the thread is interrupted
   */
  public void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /**
   * Lets the program go on by SIGCONT.
   *
   * @throws IOException if no signal can be sent
   * @throws InterruptedException if the thread is interrupted
   */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  long id() {
    return process.pid();
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
