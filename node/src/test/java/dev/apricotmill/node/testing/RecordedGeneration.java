package dev.apricotmill.node.testing;

import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.node.api.GenerationResponseEnd;
import dev.apricotmill.node.api.GenerationResponseListener;
import dev.apricotmill.node.api.GenerationSubmission;
import dev.apricotmill.testhelpers.StandInText;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Flow;

/** A generation request to a daemon, with everything that was received in response. */
public final class RecordedGeneration implements GenerationResponseListener {

  private final Deployment deployment;
  private final SimulatedDaemon daemon;
  private final GenerationSubmission submission;
  private final StringBuilder text = new StringBuilder();
  private final List<GenerationResponseEnd> ends = new ArrayList<>();
  private final List<Long> endNanos = new ArrayList<>();
  private final long sentNanos;
  private long tokens;
  private boolean unexpectedChunk;
  private Optional<Flow.Subscription> subscription = Optional.empty();

  RecordedGeneration(
      Deployment deployment, SimulatedDaemon daemon, GenerationSubmission submission) {
    this.deployment = deployment;
    this.daemon = daemon;
    this.submission = submission;
    this.sentNanos = deployment.time().nanoTime();
  }

  void submit() {
    Flow.Subscription newSubscription = daemon.node().generate(submission, this);
    subscription = Optional.of(newSubscription);
    newSubscription.request(Long.MAX_VALUE / 2);
  }

  /** Cancels the request, like a caller that closes its connection. */
  public void disconnect() {
    daemon.run(() -> subscription.ifPresent(Flow.Subscription::cancel));
  }

  @Override
  public void onChunk(TokenChunk chunk) {
    unexpectedChunk |= !chunk.request().equals(submission.id()) || chunk.position() != tokens;
    tokens += chunk.tokens();
    text.append(chunk.text());
  }

  @Override
  public void onEnd(GenerationResponseEnd end) {
    ends.add(end);
    endNanos.add(deployment.time().nanoTime());
  }

  /** Returns the daemon that received the request. */
  public SimulatedDaemon daemon() {
    return daemon;
  }

  /** Returns the request. */
  public GenerationSubmission submission() {
    return submission;
  }

  /** Returns the ends that were reported; more than one is a fault. */
  public List<GenerationResponseEnd> ends() {
    return ends;
  }

  /** Returns the outcome, empty while the request is open. */
  public Optional<Outcome> outcome() {
    return ends.stream().findFirst().map(GenerationResponseEnd::outcome);
  }

  /** Returns the time from request to end in nanoseconds, empty while the request is open. */
  public Optional<Long> durationNanos() {
    return endNanos.stream().findFirst().map(end -> end - sentNanos);
  }

  /** Returns whether exactly the expected text was received, in order. */
  public boolean isComplete() {
    String expected = StandInText.expected(submission.prompt(), submission.maximumOutputTokens());
    return !unexpectedChunk && text.toString().equals(expected);
  }

  /** Returns whether the received text is a prefix of the expected text. */
  public boolean isPrefix() {
    String expected = StandInText.expected(submission.prompt(), submission.maximumOutputTokens());
    return !unexpectedChunk && expected.startsWith(text.toString());
  }

  /** Returns the number of received tokens. */
  public long tokens() {
    return tokens;
  }
}
