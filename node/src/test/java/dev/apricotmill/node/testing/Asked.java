package dev.apricotmill.node.testing;

import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.node.api.AnswerEnd;
import dev.apricotmill.node.api.AnswerListener;
import dev.apricotmill.node.api.GenerationSubmission;
import dev.apricotmill.testhelpers.StandInText;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Flow;

/** A question to a daemon and everything that came back. */
public final class Asked implements AnswerListener {

  private final Deployment deployment;
  private final SimulatedDaemon daemon;
  private final GenerationSubmission submission;
  private final StringBuilder text = new StringBuilder();
  private final List<AnswerEnd> ends = new ArrayList<>();
  private final List<Long> endNanos = new ArrayList<>();
  private final long askedNanos;
  private long tokens;
  private boolean foreign;
  private Optional<Flow.Subscription> subscription = Optional.empty();

  Asked(Deployment deployment, SimulatedDaemon daemon, GenerationSubmission submission) {
    this.deployment = deployment;
    this.daemon = daemon;
    this.submission = submission;
    this.askedNanos = deployment.time().nanoTime();
  }

  void submit() {
    Flow.Subscription opened = daemon.node().generate(submission, this);
    subscription = Optional.of(opened);
    opened.request(Long.MAX_VALUE / 2);
  }

  /** Goes away, as a caller that closes its connection. */
  public void hangUp() {
    daemon.run(() -> subscription.ifPresent(Flow.Subscription::cancel));
  }

  @Override
  public void onChunk(TokenChunk chunk) {
    foreign |= !chunk.request().equals(submission.id()) || chunk.position() != tokens;
    tokens += chunk.tokens();
    text.append(chunk.text());
  }

  @Override
  public void onEnd(AnswerEnd end) {
    ends.add(end);
    endNanos.add(deployment.time().nanoTime());
  }

  /** Returns the daemon that was asked. */
  public SimulatedDaemon daemon() {
    return daemon;
  }

  /** Returns what was asked. */
  public GenerationSubmission submission() {
    return submission;
  }

  /** Returns the ends that were reported; there must be at most one. */
  public List<AnswerEnd> ends() {
    return ends;
  }

  /** Returns the outcome, if there is one. */
  public Optional<Outcome> outcome() {
    return ends.stream().findFirst().map(AnswerEnd::outcome);
  }

  /** Returns how long the answer took, in nanoseconds, if it has ended. */
  public Optional<Long> tookNanos() {
    return endNanos.stream().findFirst().map(end -> end - askedNanos);
  }

  /** Returns whether the whole text came, in order and nothing else. */
  public boolean isWhole() {
    String expected = StandInText.expected(submission.prompt(), submission.maximumOutputTokens());
    return !foreign && text.toString().equals(expected);
  }

  /** Returns whether what came is a beginning of the answer to this question. */
  public boolean isPrefix() {
    String expected = StandInText.expected(submission.prompt(), submission.maximumOutputTokens());
    return !foreign && expected.startsWith(text.toString());
  }

  /** Returns how many tokens came. */
  public long tokens() {
    return tokens;
  }
}
