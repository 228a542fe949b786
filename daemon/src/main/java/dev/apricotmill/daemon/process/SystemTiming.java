package dev.apricotmill.daemon.process;

import com.google.common.base.Ticker;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import dev.apricotmill.coordination.time.Timing;
import java.time.InstantSource;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Creates a {@link Timing} from the system clocks. */
public final class SystemTiming {

  private static final int SCHEDULER_THREADS = 2;

  private SystemTiming() {}

  /** Returns the system clocks with a new scheduler of 2 threads. */
  public static Timing start() {
    return start(SCHEDULER_THREADS);
  }

  /** Returns the system clocks with a new scheduler that runs one task at a time. */
  public static Timing startSerial() {
    return start(1);
  }

  private static Timing start(int threads) {
    ScheduledThreadPoolExecutor scheduler =
        new ScheduledThreadPoolExecutor(
            threads, new ThreadFactoryBuilder().setNameFormat("timer-%d").setDaemon(true).build());
    scheduler.setRemoveOnCancelPolicy(true);
    return new Timing(InstantSource.system(), Ticker.systemTicker(), scheduler);
  }
}
