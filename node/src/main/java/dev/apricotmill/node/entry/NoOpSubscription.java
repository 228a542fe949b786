package dev.apricotmill.node.entry;

import java.util.concurrent.Flow;

/** The subscription to a response that has already ended. */
enum NoOpSubscription implements Flow.Subscription {
  INSTANCE;

  @Override
  public void request(long chunks) {}

  @Override
  public void cancel() {}
}
