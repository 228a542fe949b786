package dev.apricotmill.core.relay;

/** Whether backend servers may run one request more than once. */
public enum RetryPolicy {
  /** The request is idempotent and may run more than once. */
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

  /**
   * Returns whether the request may be sent again.
   *
   * @param mayHaveRun whether an earlier attempt may have run the request
   */
  public abstract boolean allowsRetry(boolean mayHaveRun);
}
