package dev.apricotmill.daemon.process;

import com.google.common.base.Ticker;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import dev.apricotmill.coordination.time.Timing;
import java.time.InstantSource;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Time as the runtime gives it. */
public final class SystemTiming {

  private static final int SCHEDULER_THREADS = 2;

  private SystemTiming() {}

  /** Returns the runtime's clocks with a scheduler of its own. */
  public static Timing start() {
    ScheduledThreadPoolExecutor scheduler =
        new ScheduledThreadPoolExecutor(
            SCHEDULER_THREADS,
            new ThreadFactoryBuilder().setNameFormat("timer-%d").setDaemon(true).build());
    scheduler.setRemoveOnCancelPolicy(true);
    return new Timing(InstantSource.system(), Ticker.systemTicker(), scheduler);
  }
}
