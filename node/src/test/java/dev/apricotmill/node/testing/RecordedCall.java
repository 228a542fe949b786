package dev.apricotmill.node.testing;

import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.node.api.CallResponse;
import dev.apricotmill.node.api.CallSubmission;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A call of a plain service, with everything that was received in response. */
public final class RecordedCall {

  private final Deployment deployment;
  private final SimulatedDaemon daemon;
  private final CallSubmission submission;
  private final List<CallResponse> responses = new ArrayList<>();
  private final long sentNanos;
  private long respondedNanos;

  RecordedCall(Deployment deployment, SimulatedDaemon daemon, CallSubmission submission) {
    this.deployment = deployment;
    this.daemon = daemon;
    this.submission = submission;
    this.sentNanos = deployment.time().nanoTime();
  }

  void submit() {
    daemon
        .node()
        .call(submission)
        .thenAccept(
            response -> {
              responses.add(response);
              respondedNanos = deployment.time().nanoTime();
            });
  }

  /** Returns the daemon that received the call. */
  public SimulatedDaemon daemon() {
    return daemon;
  }

  /** Returns the call. */
  public CallSubmission submission() {
    return submission;
  }

  /** Returns the responses; more than one is a fault. */
  public List<CallResponse> responses() {
    return responses;
  }

  /** Returns the outcome, empty while the call is open. */
  public Optional<Outcome> outcome() {
    return responses.stream().findFirst().map(CallResponse::outcome);
  }

  /** Returns the time from call to response in nanoseconds, empty while the call is open. */
  public Optional<Long> durationNanos() {
    return responses.isEmpty() ? Optional.empty() : Optional.of(respondedNanos - sentNanos);
  }
}
