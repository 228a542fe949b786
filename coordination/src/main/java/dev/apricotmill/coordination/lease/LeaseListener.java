package dev.apricotmill.coordination.lease;

/** Is told when a lease is won and lost; calls come one at a time. */
public interface LeaseListener {

  /** Called when this process became the holder. */
  void onAcquired(LeaseState.Held held);

  /** Called when this process stopped being the holder; no order may follow. */
  void onLost();
}
