package dev.apricotmill.daemon.operators;

/** What the operators' port serves. */
enum OperatorsPath {
  /** Whether the process works. */
  LIVE("/live", "GET", Access.ANYBODY),
  /** Whether the daemon takes requests. */
  READY("/ready", "GET", Access.ANYBODY),
  /** The metrics in Prometheus' text format. */
  METRICS("/metrics", "GET", Access.OPERATOR),
  /** The daemon's status. */
  STATUS("/status", "GET", Access.OPERATOR),
  /** Begins a drain. */
  DRAIN("/drain", "POST", Access.OPERATOR),
  /** Any other path. */
  NONE("", "", Access.ANYBODY);

  private final String path;
  private final String method;
  private final Access access;

  OperatorsPath(String path, String method, Access access) {
    this.access = access;
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
  Access access() {
    return access;
  }

  /** Returns the method that the path takes. */
  String method() {
    return method;
  }

  /** Who may use a path. */
  enum Access {
    /** Probes of the platform and anybody else. */
    ANYBODY,
    /** Whoever shows the operators' token, if one is set. */
    OPERATOR
  }
}
