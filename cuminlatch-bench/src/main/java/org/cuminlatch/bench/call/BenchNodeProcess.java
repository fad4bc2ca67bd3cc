package org.cuminlatch.bench.call;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A {@link BenchNode} in a separate process with its own JVM options. */
final class BenchNodeProcess implements AutoCloseable {

  /** JVM options that keep a node small: the C2 compiler alone takes tens of MiB. */
  static final String SMALL_JVM_OPTIONS =
      "-Xms16m -Xmx32m -Xss512k -XX:+UseSerialGC -XX:MaxDirectMemorySize=12m"
          + " -XX:TieredStopAtLevel=1";

  private static final String PEAK_RESIDENT_FIELD = "VmHWM:";
  private static final double KIBIBYTES_PER_MEBIBYTE = 1024;

  private final Process process;
  private final int callerPort;
  private final int forwardPort;

  private BenchNodeProcess(Process process, int callerPort, int forwardPort) {
    this.process = process;
    this.callerPort = callerPort;
    this.forwardPort = forwardPort;
  }

  static BenchNodeProcess start(String jvmOptions, String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of(jvmOptions.split(" ")));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(BenchNodeMain.class.getName());
    command.addAll(Arrays.asList(arguments));
    try {
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("MALLOC_ARENA_MAX", "2");
      Process process = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
      BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
      String[] ports = output.readLine().split(" ");
      return new BenchNodeProcess(process, Integer.parseInt(ports[0]), Integer.parseInt(ports[1]));
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  URI uri(String path) {
    return URI.create("http://127.0.0.1:" + callerPort + path);
  }

  int forwardPort() {
    return forwardPort;
  }

  /** Returns the peak resident memory of the process so far. */
  double peakResidentMebibytes() {
    try {
      return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
              .filter(line -> line.startsWith(PEAK_RESIDENT_FIELD))
              .map(line -> line.replaceAll("\\D", ""))
              .mapToLong(Long::parseLong)
              .findFirst()
              .orElse(0)
          / KIBIBYTES_PER_MEBIBYTE;
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  @Override
  public void close() {
    process.destroy();
  }
}
