package dev.apricotmill.coordination.testing;

/**
 * A watch that waits for a change at {@link FakePlatform}.
 *
 * @param request the call
 * @param prefix the watched path prefix
 * @param onChange completes the watch with the changes
 * @param onFailure fails the watch because a fault began
 */
record PendingWatch(PlatformRequest request, String prefix, Runnable onChange, Runnable onFailure) {

  void complete() {
    onChange.run();
  }

  void fail() {
    onFailure.run();
  }
}
