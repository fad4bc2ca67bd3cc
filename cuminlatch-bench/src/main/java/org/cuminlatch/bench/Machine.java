package org.cuminlatch.bench;

import java.lang.management.ManagementFactory;

/**
 * Machine on which an experiment ran.
 *
 * @param cores number of processors available to the JVM
 * @param memoryMegabytes physical memory, in MB
 * @param javaVersion version of the JVM
 */
record Machine(int cores, long memoryMegabytes, String javaVersion) {

  private static final long BYTES_PER_MEGABYTE = 1_000_000;

  static Machine current() {
    var system =
        (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new Machine(
        Runtime.getRuntime().availableProcessors(),
        system.getTotalMemorySize() / BYTES_PER_MEGABYTE,
        System.getProperty("java.version"));
  }

  @Override
  public String toString() {
    return cores + " cores, " + memoryMegabytes + " MB, Java " + javaVersion;
  }
}
