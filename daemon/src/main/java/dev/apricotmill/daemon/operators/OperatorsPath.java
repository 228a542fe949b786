package dev.apricotmill.daemon.operators;

/** What the operators' port serves. */
enum OperatorsPath {
  /** Whether the process works. */
  LIVE("/live", "GET", Right.ANYBODY),
  /** Whether the daemon takes requests. */
  READY("/ready", "GET", Right.ANYBODY),
  /** The metrics in Prometheus' text format. */
  METRICS("/metrics", "GET", Right.OPERATOR),
  /** The daemon's status. */
  STATUS("/status", "GET", Right.OPERATOR),
  /** Begins a drain. */
  DRAIN("/drain", "POST", Right.OPERATOR),
  /** Any other path. */
  NONE("", "", Right.ANYBODY);

  private final String path;
  private final String method;
  private final Right right;

  OperatorsPath(String path, String method, Right right) {
    this.right = right;
    this.path = path;
    this.method = method;
  }

  /** Returns what is served under a path. */
  static OperatorsPath of(String requested) {
    for (OperatorsPath candidate : values()) {
      if (candidate != NONE && candidate.path.equals(requested)) {
        return candidate;
      }
    }
    return NONE;
  }

  /** Returns who may use the path. */
  Right right() {
    return right;
  }

  /** Returns the method that the path takes. */
  String method() {
    return method;
  }

  /** Who may use a path. */
  enum Right {
    /** Probes of the platform and anybody else. */
    ANYBODY,
    /** Whoever shows the operators' token, if one is set. */
    OPERATOR
  }
}
