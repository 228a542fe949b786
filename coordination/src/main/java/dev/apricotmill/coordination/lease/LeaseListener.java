package dev.apricotmill.coordination.lease;

/** Is notified when a lease is acquired and lost; calls are made one at a time. */
public interface LeaseListener {

  /** Called after this process has become the holder. */
  void onAcquired(LeaseState.Held held);

  /** Called after this process has stopped being the holder; it must send no more orders. */
  void onLost();
}
