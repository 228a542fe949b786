package dev.apricotmill.node.testing;

import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.node.api.CallAnswer;
import dev.apricotmill.node.api.CallSubmission;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A call of a plain service and what came back. */
public final class Ordered {

  private final Deployment deployment;
  private final SimulatedDaemon daemon;
  private final CallSubmission submission;
  private final List<CallAnswer> answers = new ArrayList<>();
  private final long sentNanos;
  private long answeredNanos;

  Ordered(Deployment deployment, SimulatedDaemon daemon, CallSubmission submission) {
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
            answer -> {
              answers.add(answer);
              answeredNanos = deployment.time().nanoTime();
            });
  }

  /** Returns the daemon that was called. */
  public SimulatedDaemon daemon() {
    return daemon;
  }

  /** Returns the call. */
  public CallSubmission submission() {
    return submission;
  }

  /** Returns the answers that came; there must be at most one. */
  public List<CallAnswer> answers() {
    return answers;
  }

  /** Returns the outcome, if there is one. */
  public Optional<Outcome> outcome() {
    return answers.stream().findFirst().map(CallAnswer::outcome);
  }

  /** Returns how long the answer took, in nanoseconds, if it came. */
  public Optional<Long> tookNanos() {
    return answers.isEmpty() ? Optional.empty() : Optional.of(answeredNanos - sentNanos);
  }
}
