package org.cuminlatch.bench.failure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A Java program that runs as a process of its own. */
final class ChildProcess implements AutoCloseable {

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

  /** Waits for the program to end and returns its exit code. */
  int join(long seconds) throws InterruptedException {
    if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new IllegalStateException("process did not end within " + seconds + " s");
    }
    return process.exitValue();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS);
  }

  void terminate() {
    process.destroy();
  }

  void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
