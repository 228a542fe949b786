package dev.apricotmill.benchmarks.slopes;

import java.lang.management.ManagementFactory;

/** Reads processor time and heap of this process. */
final class Cost {

  private static final int COLLECTIONS = 3;

  private Cost() {}

  /** Returns the processor time of the calling thread in nanoseconds. */
  static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the heap that is in use after collections, in bytes. */
  static long usedBytes() {
    for (int round = 0; round < COLLECTIONS; round++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
