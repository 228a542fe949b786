package dev.apricotmill.daemon.operators;

/** What the operators' port serves. */
enum OperatorsPath {
  /** Whether the process works. */
  LIVE("/live", "GET"),
  /** Whether the daemon takes requests. */
  READY("/ready", "GET"),
  /** The metrics in Prometheus' text format. */
  METRICS("/metrics", "GET"),
  /** The daemon's status. */
  STATUS("/status", "GET"),
  /** Begins a drain. */
  DRAIN("/drain", "POST"),
  /** Any other path. */
  NONE("", "");

  private final String path;
  private final String method;

  OperatorsPath(String path, String method) {
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

  /** Returns the method that the path takes. */
  String method() {
    return method;
  }
}
