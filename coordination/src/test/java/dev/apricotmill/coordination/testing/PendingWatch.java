package dev.apricotmill.coordination.testing;

/**
 * A watch that waits at {@link FakePlatform} for a change.
 *
 * @param request the call
 * @param prefix what it watches
 * @param onChange answers it
 * @param onFailure ends it because a lasting fault began
 */
record PendingWatch(PlatformRequest request, String prefix, Runnable onChange, Runnable onFailure) {

  void complete() {
    onChange.run();
  }

  void fail() {
    onFailure.run();
  }
}
