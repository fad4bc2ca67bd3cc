package org.cuminlatch.node.mesh;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Maximum number of descriptors that a process may open.
 *
 * @param descriptors number of descriptors
 */
record DescriptorLimit(int descriptors) {

  /** Descriptors for files, as the smallest machines reserve them. */
  private static final int FILE_DESCRIPTORS = 200;

  /** Assumed where the system does not tell the limit: that of the smallest machines. */
  private static final int DEFAULT_DESCRIPTORS = 4100;

  private static final int MIN_CALLERS = 64;

  /** Maximum number of connections of callers: half of what files leave of 4,100 descriptors. */
  private static final int MAX_CALLERS = 1950;

  private static final String LINE = "Max open files";

  static DescriptorLimit ofProcess() {
    try {
      return parse(Files.readAllLines(Path.of("/proc/self/limits")));
    } catch (IOException notTold) {
      return new DescriptorLimit(DEFAULT_DESCRIPTORS);
    }
  }

  /** Reads the soft limit from the lines of {@code /proc/self/limits}. */
  static DescriptorLimit parse(List<String> lines) {
    return lines.stream()
        .filter(line -> line.startsWith(LINE))
        .map(line -> line.substring(LINE.length()).trim().split(" +")[0])
        .filter(number -> number.matches("\\d{1,9}"))
        .findFirst()
        .map(number -> new DescriptorLimit(Integer.parseInt(number)))
        .orElse(new DescriptorLimit(DEFAULT_DESCRIPTORS));
  }

  /**
   * Returns the maximum number of connections of callers: half of what files leave. The other half
   * is for links to other nodes, the target and the store.
   */
  int maxCallers() {
    return Math.max(MIN_CALLERS, Math.min(MAX_CALLERS, (descriptors - FILE_DESCRIPTORS) / 2));
  }
}
