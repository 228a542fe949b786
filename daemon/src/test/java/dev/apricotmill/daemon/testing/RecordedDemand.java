package dev.apricotmill.daemon.testing;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Flow;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** A subscription that records its demand and its cancellation. */
public final class RecordedDemand implements Flow.Subscription {

  private static final long TIMEOUT_SECONDS = 20;
  private static final long SHORT_WAIT_MILLIS = 300;

  private final Semaphore requested = new Semaphore(0);
  private final CountDownLatch cancelled = new CountDownLatch(1);

  @Override
  public void request(long count) {
    requested.release((int) Math.min(count, 1 << 20));
  }

  @Override
  public void cancel() {
    cancelled.countDown();
  }

  /** Waits until one more chunk may be sent; returns false on a timeout. */
  public boolean awaitOne() throws InterruptedException {
    return requested.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Waits briefly for demand; for tests that expect demand to stop. */
  public boolean awaitOneBriefly() throws InterruptedException {
    return requested.tryAcquire(SHORT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Consumes the demand for one chunk if there is any now. */
  public boolean tryOne() {
    return requested.tryAcquire();
  }

  /** Waits until the subscription is cancelled; returns false on a timeout. */
  public boolean awaitCancel() throws InterruptedException {
    return cancelled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns whether the subscription was cancelled. */
  public boolean isCancelled() {
    return cancelled.getCount() == 0;
  }
}
