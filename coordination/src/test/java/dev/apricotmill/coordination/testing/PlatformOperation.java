package dev.apricotmill.coordination.testing;

/** The kinds of calls to {@link FakePlatform}. */
public enum PlatformOperation {
  GET(false),
  LIST(false),
  PUT(true),
  DELETE(true),
  WATCH(false),
  MACHINES(false);

  private final boolean write;

  PlatformOperation(boolean write) {
    this.write = write;
  }

  /** Returns whether the call counts against the platform's write rate limit. */
  public boolean isWrite() {
    return write;
  }
}
