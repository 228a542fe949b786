package dev.apricotmill.daemon.operators;

/** The paths of the operators' API. */
enum OperatorsPath {
  /** Liveness of the process. */
  LIVE("/live", "GET", Access.ANYBODY),
  /** Whether the daemon accepts requests. */
  READY("/ready", "GET", Access.ANYBODY),
  /** The metrics in the Prometheus text format. */
  METRICS("/metrics", "GET", Access.OPERATOR),
  /** The daemon's status. */
  STATUS("/status", "GET", Access.OPERATOR),
  /** Starts a drain. */
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

  /** Returns the constant of a path, or {@link #NONE}. */
  static OperatorsPath of(String requested) {
    for (OperatorsPath candidate : values()) {
      if (candidate != NONE && candidate.path.equals(requested)) {
        return candidate;
      }
    }
    return NONE;
  }

  /** Returns the access that the path requires. */
  Access access() {
    return access;
  }

  /** Returns the HTTP method that the path accepts. */
  String method() {
    return method;
  }

  /** Who may use a path. */
  enum Access {
    /** No token, as for health probes. */
    ANYBODY,
    /** The operators' token, if one is set. */
    OPERATOR
  }
}
