package dev.apricotmill.testhelpers.engine;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.engine.CancelResult;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineRefusal;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.GenerationListener;
import dev.apricotmill.core.engine.ModelEngine;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.testhelpers.StandInText;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.peers.Link;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FakeEngineTest {

  private static final String PROMPT = "Which circuit feeds the post?";
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int TOKENS = 10;

  private final VirtualTime time = new VirtualTime();
  private final VirtualScheduler clientScheduler = time.newScheduler();
  private final FakeEngine engine =
      new FakeEngine(
          EngineSettings.of(new EngineProfile(100_000, 10_000, 50, 4)), time.newTiming());
  private final ModelEngine port = engine.portFor(time.timingOf(clientScheduler));

  /** Keeps what a stream delivered and when its first token came. */
  private final class Stream implements GenerationListener {

    private final List<TokenChunk> chunks = new ArrayList<>();
    private Optional<GenerationEnd> end = Optional.empty();
    private long firstTokenNanos;

    @Override
    public void onChunk(TokenChunk chunk) {
      if (chunks.isEmpty()) {
        firstTokenNanos = time.nanoTime();
      }
      chunks.add(chunk);
    }

    @Override
    public void onEnd(GenerationEnd newEnd) {
      assertThat(end).isEmpty();
      end = Optional.of(newEnd);
    }

    String text() {
      StringBuilder text = new StringBuilder();
      chunks.forEach(chunk -> text.append(chunk.text()));
      return text.toString();
    }
  }

  private static SequenceId sequence(String request) {
    return new SequenceId(new Incarnation(new DaemonId("daemon"), 1), new RequestId(request), 1);
  }

  private Stream generate(String id, String prompt, int priority) {
    Stream stream = new Stream();
    port.generate(new EngineRequest(sequence(id), prompt, TOKENS, priority, LIMIT, 0, ""), stream)
        .request(Long.MAX_VALUE);
    return stream;
  }

  @Test
  void anAnswerIsAFunctionOfThePrompt() {
    Stream stream = generate("r", PROMPT, 0);
    time.advance(Duration.ofSeconds(2));

    assertThat(stream.text()).isEqualTo(StandInText.expected(PROMPT, TOKENS));
    assertThat(stream.end)
        .hasValue(
            new GenerationEnd.Finished(
                GenerationEnd.FinishReason.LENGTH, StandInText.tokens(PROMPT), TOKENS));
  }

  @Test
  void memoryIsHeldWhileASequenceRunsAndFreeAfterwards() {
    generate("r", PROMPT, 0);
    time.advance(Duration.ofMillis(100));

    assertThat(engine.core().usedTokens()).isEqualTo(StandInText.tokens(PROMPT) + TOKENS);
    time.advance(LIMIT);
    assertThat(engine.core().usedTokens()).isEqualTo(0);
  }

  @Test
  void anUrgentShortPromptOvertakesALongOne() {
    Stream longStream = generate("long", "p".repeat(200_000), 5);
    time.advance(Duration.ofMillis(500));
    Stream shortStream = generate("short", PROMPT, 0);
    time.advance(LIMIT);

    assertThat(shortStream.firstTokenNanos).isLessThan(longStream.firstTokenNanos);
    assertThat(longStream.end.get()).isInstanceOf(GenerationEnd.Finished.class);
  }

  @Test
  void aCachedPrefixIsNotReadAgain() {
    String prompt = "p".repeat(100_000);
    Stream first = generate("first", prompt, 0);
    time.advance(LIMIT);
    long secondStart = time.nanoTime();
    Stream second = generate("second", prompt, 0);
    time.advance(LIMIT);

    assertThat(second.firstTokenNanos - secondStart).isLessThan(first.firstTokenNanos);
  }

  @Test
  void aSequenceThatDoesNotFitIsRefused() {
    Stream stream = generate("r", "p".repeat(500_000), 0);
    time.advance(TIMEOUT);

    assertThat(stream.end)
        .hasValue(new GenerationEnd.NotStarted(EngineRefusal.NO_MEMORY, Duration.ofSeconds(1)));
    assertThat(engine.core().log()).isEmpty();
  }

  @Test
  void aFrozenClientHearsNothingUntilItWakesUp() {
    Stream stream = generate("r", PROMPT, 0);
    time.advance(Duration.ofMillis(50));
    int heard = stream.chunks.size();
    clientScheduler.pause();
    time.advance(Duration.ofSeconds(5));

    assertThat(stream.chunks).hasSize(heard);
    clientScheduler.resume();
    time.runDue();
    assertThat(stream.text()).isEqualTo(StandInText.expected(PROMPT, TOKENS));
  }

  @Test
  void aDeadClientLeavesItsSequenceToRunToItsEnd() {
    generate("r", PROMPT, 0);
    time.advance(Duration.ofMillis(50));
    clientScheduler.shutdown();

    assertThat(engine.core().held().sequences()).hasSize(1);
    time.advance(LIMIT);
    assertThat(engine.core().held().sequences()).isEmpty();
  }

  @Test
  void aKilledEngineBreaksItsStreamsAndHoldsNothing() {
    Stream stream = generate("r", PROMPT, 0);
    time.advance(Duration.ofMillis(50));
    engine.core().kill();
    time.advance(Duration.ofMillis(10));

    assertThat(stream.end).hasValue(new GenerationEnd.Broken(EngineFailure.CONNECTION_LOST));
    assertThat(engine.core().usedTokens()).isEqualTo(0);
    Stream refused = generate("next", PROMPT, 0);
    time.advance(Duration.ofMillis(10));
    assertThat(refused.end)
        .hasValue(new GenerationEnd.NotStarted(EngineRefusal.UNREACHABLE, Duration.ZERO));
  }

  @Test
  void aLostCancelLeavesTheMemoryHeld() {
    generate("r", PROMPT, 0);
    time.advance(Duration.ofMillis(50));
    engine.faults().once(EngineOperation.CANCEL, Fault.LOST_BEFORE_EFFECT);
    var cancel = port.cancel(sequence("r"), TIMEOUT).toCompletableFuture();
    time.advance(Duration.ofMillis(60));

    assertThat(engine.core().held().sequences()).hasSize(1);
    time.advance(TIMEOUT);
    assertThat(cancel.join()).isEqualTo(CancelResult.UNANSWERED);
  }

  @Test
  void aSilentLinkEndsAtTheTimeLimitAndNothingStarted() {
    engine.setLink(Link.SILENT);
    Stream stream = generate("r", PROMPT, 0);
    time.advance(LIMIT);

    assertThat(stream.end).hasValue(new GenerationEnd.Broken(EngineFailure.SILENT));
    assertThat(engine.core().log()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "CUT, CONNECTION_LOST",
    "TRUNCATED, CONNECTION_LOST",
    "MALFORMED, MALFORMED",
    "ERROR, ENGINE_ERROR",
    "LOST_AFTER_EFFECT, SILENT",
    "LOST_BEFORE_EFFECT, SILENT",
    "FROZEN, SILENT",
  })
  void aFaultEndsTheStreamAsAnHttpClientWouldSeeIt(Fault fault, EngineFailure failure) {
    engine.faults().once(EngineOperation.GENERATE, fault);
    Stream stream = generate("r", PROMPT, 0);
    time.advance(LIMIT);

    assertThat(stream.end).hasValue(new GenerationEnd.Broken(failure));
    assertThat(StandInText.expected(PROMPT, TOKENS)).startsWith(stream.text());
    boolean started = fault != Fault.LOST_BEFORE_EFFECT;
    assertThat(engine.core().log().isEmpty()).isEqualTo(!started);
  }

  @Test
  void noMoreChunksComeThanWereRequested() {
    Stream stream = new Stream();
    var subscription =
        port.generate(new EngineRequest(sequence("r"), PROMPT, TOKENS, 0, LIMIT, 0, ""), stream);
    subscription.request(3);
    time.advance(Duration.ofSeconds(2));

    assertThat(stream.chunks).hasSize(3);
    assertThat(stream.end).isEmpty();
    subscription.request(TOKENS);
    time.runDue();
    assertThat(stream.end.get()).isInstanceOf(GenerationEnd.Finished.class);
  }
}
