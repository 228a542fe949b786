package dev.apricotmill.node.relay;

import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Watches the attempt of a resumable stream, and has other servers tried while its own is silent.
 *
 * <p>A server that is silent may be lost, or may prefill a long prompt. Its attempt therefore stays
 * open until another server writes. Runs on the relay's executor.
 */
final class SilenceWatch implements StandbyAttempt.Owner {

  private final CallScope scope;
  private final RelayResponse response;
  private final Consumer<StandbyAttempt> onStandbyAlive;
  private final ResettableTimer timer;
  private final List<StandbyAttempt> standbys = new ArrayList<>();
  private @Nullable BackendAttempt watched;
  private boolean silent;
  private int standbysCreated;

  /**
   * Creates a watch of no attempt.
   *
   * @param onStandbyAlive receives the first attempt that writes while the watched server is silent
   */
  SilenceWatch(CallScope scope, RelayResponse response, Consumer<StandbyAttempt> onStandbyAlive) {
    this.scope = scope;
    this.response = response;
    this.onStandbyAlive = onStandbyAlive;
    timer = new ResettableTimer(scope.node().timing(), this::onTimeout);
  }

  /** Watches an attempt whose first event is expected after {@code expected}. */
  void begin(BackendAttempt attempt, Duration expected) {
    watched = attempt;
    silent = false;
    restart(SilenceTimeouts.firstEventTimeout(scope.route(), expected));
  }

  /** Records that the watched server has written an event, or is read again after a pause. */
  void onProgress() {
    BackendAttempt attempt = watched;
    if (silent && attempt != null) {
      silent = false;
      scope.log().serverWritesAgain(attempt, scope.remaining());
      cancelStandbys();
    }
    restart(SilenceTimeouts.eventGapTimeout(scope.route()));
  }

  /** Expects nothing until the next progress. */
  void pause() {
    timer.cancel();
  }

  /** Ends the watch and all attempts beside the watched one. */
  void end() {
    timer.cancel();
    watched = null;
    cancelStandbys();
  }

  /** Ends the watch; of the attempts beside the watched one, the first that was sent stays open. */
  Optional<StandbyAttempt> endExceptFirstSent() {
    Optional<StandbyAttempt> first = standbys.stream().filter(StandbyAttempt::isSent).findFirst();
    first.ifPresent(standbys::remove);
    end();
    return first;
  }

  private void restart(Duration timeout) {
    if (scope.route().resumable()) {
      timer.restart(timeout);
    }
  }

  private void onTimeout() {
    BackendAttempt attempt = watched;
    if (attempt == null || attempt.isClosed()) {
      return;
    }
    if (!silent) {
      silent = true;
      scope.log().serverSilent(attempt, scope.remaining());
      scope.candidates().onFailure(attempt.server().id(), /* unreachable= */ true);
    }
    if (scope.limits().canRetry() && response.canBeContinued()) {
      startStandby();
    }
  }

  private void startStandby() {
    standbysCreated++;
    RequestId placementId =
        new RequestId(scope.request().id().value() + ".standby" + standbysCreated);
    StandbyAttempt standby = new StandbyAttempt(scope, placementId, response, this);
    standbys.add(standby);
    standby.start();
  }

  private void cancelStandbys() {
    standbys.forEach(StandbyAttempt::cancel);
    standbys.clear();
  }

  @Override
  public void onStandbySent(Duration expected) {
    restart(SilenceTimeouts.firstEventTimeout(scope.route(), expected));
  }

  @Override
  public void onStandbyEnded(StandbyAttempt standby, Duration retryAfter) {
    standbys.remove(standby);
    restart(retryAfter);
  }

  @Override
  public void onStandbyAlive(StandbyAttempt standby) {
    standbys.remove(standby);
    end();
    onStandbyAlive.accept(standby);
  }
}
