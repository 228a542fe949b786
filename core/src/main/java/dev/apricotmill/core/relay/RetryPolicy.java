package dev.apricotmill.core.relay;

/** How often backend servers may run one request. */
public enum RetryPolicy {
  /** A second run does no harm. */
  REPEATABLE {
    @Override
    public boolean allowsRetry(boolean mayHaveRun) {
      return true;
    }
  },
  /** At most one backend server may run the request. */
  AT_MOST_ONCE {
    @Override
    public boolean allowsRetry(boolean mayHaveRun) {
      return !mayHaveRun;
    }
  };

  /** Returns whether the request may be sent again after a send that may have run it. */
  public abstract boolean allowsRetry(boolean mayHaveRun);
}
