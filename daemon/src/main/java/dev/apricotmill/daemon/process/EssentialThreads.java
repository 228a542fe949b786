package dev.apricotmill.daemon.process;

import com.google.errorprone.annotations.concurrent.LazyInit;

/**
 * Ends the process when a thread ends by an error, so that it is started again.
 *
 * <p>The libraries do not replace threads that have ended. A process that lives on without one of
 * them keeps its machine and its connections, but serves nothing.
 */
public final class EssentialThreads {

  /** The exit code when a thread has ended; the runtime ends with 3 when the heap is used up. */
  public static final int EXIT_THREAD_ENDED = 70;

  /** Writing the reason may need memory, so a part of it is kept for that. */
  @LazyInit private static volatile byte[] reserve = new byte[64 << 10];

  private EssentialThreads() {}

  /** Ends the process at each uncaught error from now on. */
  public static void endProcessOnUncaughtErrors() {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> endProcess("thread " + thread.getName() + " ended by " + error));
  }

  /** Ends the process with a line that states the reason. */
  public static void endProcess(String reason) {
    reserve = new byte[0];
    try {
      System.err.println("apricotmill: process ends: " + reason);
      System.err.flush();
    } finally {
      Runtime.getRuntime().halt(EXIT_THREAD_ENDED);
    }
  }

  /** Returns the bytes that are kept for the last line. */
  static int reservedBytes() {
    return reserve.length;
  }
}
