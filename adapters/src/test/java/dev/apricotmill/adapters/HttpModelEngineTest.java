package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static dev.apricotmill.adapters.AdapterFixture.TEST_TIMEOUT;
import static dev.apricotmill.adapters.AdapterFixture.await;
import static dev.apricotmill.adapters.AdapterFixture.awaitUntil;

import com.google.common.collect.ImmutableSortedSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.engine.CacheEvents;
import dev.apricotmill.core.engine.CancelResult;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineLoad;
import dev.apricotmill.core.engine.EngineOrder;
import dev.apricotmill.core.engine.EngineRefusal;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.EngineResult;
import dev.apricotmill.core.engine.EngineRole;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.ImportAccepted;
import dev.apricotmill.core.engine.ModelEngine;
import dev.apricotmill.core.engine.OrderResult;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.testhelpers.StandInText;
import dev.apricotmill.testhelpers.engine.EngineOperation;
import dev.apricotmill.testhelpers.engine.EngineServer;
import dev.apricotmill.testhelpers.engine.EngineSettings;
import dev.apricotmill.testhelpers.fault.Fault;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class HttpModelEngineTest {

  private static final String PROMPT = "Which circuit feeds the post at the harbour?";
  private static final long MEMORY_TOKENS = 2_000_000;
  private static final int SHORT_OUTPUT_TOKENS = 8;

  /** An output length that is never reached while a test runs. */
  private static final int ENDLESS_OUTPUT_TOKENS = 1_500_000;

  private AdapterFixture fixture;
  private EngineServer server;
  private ModelEngine engine;

  @BeforeEach
  void start() throws Exception {
    fixture = new AdapterFixture();
    EngineProfile profile = new EngineProfile(MEMORY_TOKENS, 1e6, 5_000, 16);
    server = new EngineServer(EngineSettings.of(profile), 0, fixture.timing());
    fixture.closeAtEnd(server::close);
    engine = connect(server.address());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private ModelEngine connect(PeerAddress address) {
    return new HttpEngineConnector(fixture.clients()).connect(AdapterFixture.replicaAt(address));
  }

  private static SequenceId sequence(String request) {
    Incarnation owner = new Incarnation(new DaemonId("daemon"), 3);
    return new SequenceId(owner, new RequestId(request), 1);
  }

  private static EngineRequest request(String id, int tokens, Duration timeLimit) {
    return new EngineRequest(sequence(id), PROMPT, tokens, 0, timeLimit, 0, "");
  }

  private RecordingListener generate(EngineRequest request) {
    RecordingListener listener = new RecordingListener();
    engine.generate(request, listener).request(Long.MAX_VALUE);
    return listener;
  }

  /** Expires the timeout of a call if its fault leaves it without a response. */
  private void expireTimeoutIfNoResponse(EngineFailure failure, EngineOperation operation)
      throws Exception {
    if (failure == EngineFailure.SILENT) {
      fixture.expireTimeoutsOnce(() -> server.faults().calls(operation) == 1);
    }
  }

  @Test
  void aCompleteStreamHasItsTextItsEndAndTheTokenCountsOfTheEngine() throws Exception {
    RecordingListener listener = generate(request("r", SHORT_OUTPUT_TOKENS, TEST_TIMEOUT));

    assertThat(await(listener.end()))
        .isEqualTo(
            new GenerationEnd.Finished(
                GenerationEnd.FinishReason.LENGTH,
                StandInText.tokens(PROMPT),
                SHORT_OUTPUT_TOKENS));
    assertThat(listener.text()).isEqualTo(StandInText.expected(PROMPT, SHORT_OUTPUT_TOKENS));
    assertThat(server.core().usedTokens()).isEqualTo(0);
  }

  @Test
  void aResumedStreamContinuesWhereItBroke() throws Exception {
    String received = StandInText.expected(PROMPT, 3);
    RecordingListener listener =
        generate(
            new EngineRequest(
                sequence("r"), PROMPT, SHORT_OUTPUT_TOKENS, 0, TEST_TIMEOUT, 3, received));

    assertThat(await(listener.end())).isInstanceOf(GenerationEnd.Finished.class);
    assertThat(received + listener.text())
        .isEqualTo(StandInText.expected(PROMPT, SHORT_OUTPUT_TOKENS));
  }

  @Test
  void noMoreChunksAreDeliveredThanWereRequested() throws Exception {
    RecordingListener listener = new RecordingListener();
    Flow.Subscription subscription =
        engine.generate(request("r", SHORT_OUTPUT_TOKENS, TEST_TIMEOUT), listener);
    subscription.request(2);
    awaitUntil(() -> listener.count() == 2 && server.core().usedTokens() == 0);
    await(engine.load(TEST_TIMEOUT));

    assertThat(listener.count()).isEqualTo(2);
    subscription.request(SHORT_OUTPUT_TOKENS);
    assertThat(await(listener.end())).isInstanceOf(GenerationEnd.Finished.class);
    assertThat(listener.text()).isEqualTo(StandInText.expected(PROMPT, SHORT_OUTPUT_TOKENS));
  }

  @ParameterizedTest
  @CsvSource({
    "CUT, CONNECTION_LOST",
    "TRUNCATED, CONNECTION_LOST",
    "MALFORMED, MALFORMED",
    "OVERSIZE, MALFORMED",
    "FOREIGN_CHUNK, MALFORMED",
    "DUPLICATED_CHUNK, MALFORMED",
    "ERROR, ENGINE_ERROR",
    "LOST_AFTER_EFFECT, SILENT",
    "FROZEN, SILENT",
  })
  void aFaultyStreamBreaksWithoutWrongTextAndItsMemoryIsFreed(Fault fault, EngineFailure failure)
      throws Exception {
    server.faults().once(EngineOperation.GENERATE, fault);
    RecordingListener listener = generate(request("r", ENDLESS_OUTPUT_TOKENS, TEST_TIMEOUT));
    if (failure == EngineFailure.SILENT) {
      fixture.expireTimeoutsOnce(() -> !server.core().log().isEmpty());
    }

    assertThat(await(listener.end())).isEqualTo(new GenerationEnd.Broken(failure));
    assertThat(StandInText.expected(PROMPT, SHORT_OUTPUT_TOKENS)).startsWith(listener.text());
    awaitUntil(() -> server.core().usedTokens() == 0);
  }

  @Test
  void aRefusalWithAKnownCodeIsReportedAsNotStarted() throws Exception {
    server.faults().once(EngineOperation.GENERATE, Fault.REFUSED);

    assertThat(await(generate(request("r", SHORT_OUTPUT_TOKENS, TEST_TIMEOUT)).end()))
        .isEqualTo(new GenerationEnd.NotStarted(EngineRefusal.NOT_SERVING, Duration.ofSeconds(1)));
  }

  @Test
  void aRequestThatNeedsMoreMemoryThanIsFreeIsReportedAsNotStarted() throws Exception {
    assertThat(await(generate(request("r", (int) MEMORY_TOKENS, TEST_TIMEOUT)).end()))
        .isEqualTo(new GenerationEnd.NotStarted(EngineRefusal.NO_MEMORY, Duration.ofSeconds(1)));
  }

  @Test
  void aRequestToAnEngineThatRefusesConnectionsIsReportedAsNotStarted() throws Exception {
    engine = connect(AdapterFixture.unusedAddress());

    assertThat(await(generate(request("r", SHORT_OUTPUT_TOKENS, TEST_TIMEOUT)).end()))
        .isEqualTo(new GenerationEnd.NotStarted(EngineRefusal.UNREACHABLE, Duration.ZERO));
  }

  @Test
  void nothingIsSentWhenNoTimeRemains() throws Exception {
    assertThat(await(generate(request("r", SHORT_OUTPUT_TOKENS, Duration.ZERO)).end()))
        .isEqualTo(new GenerationEnd.NotStarted(EngineRefusal.UNREACHABLE, Duration.ZERO));
    assertThat(server.core().log()).isEmpty();
  }

  @Test
  void anEngineThatDiesWithAnOpenStreamBreaksIt() throws Exception {
    RecordingListener listener = generate(request("r", ENDLESS_OUTPUT_TOKENS, TEST_TIMEOUT));
    awaitUntil(() -> listener.count() > 0);
    server.close();

    assertThat(await(listener.end()))
        .isEqualTo(new GenerationEnd.Broken(EngineFailure.CONNECTION_LOST));
  }

  @Test
  void aCancelledStreamFreesItsMemoryAndReportsNothingMore() throws Exception {
    RecordingListener listener = new RecordingListener();
    Flow.Subscription subscription =
        engine.generate(request("r", ENDLESS_OUTPUT_TOKENS, TEST_TIMEOUT), listener);
    subscription.request(1);
    awaitUntil(() -> listener.count() == 1);
    subscription.cancel();

    awaitUntil(() -> server.core().usedTokens() == 0);
    assertThat(listener.count()).isEqualTo(1);
    assertThat(listener.end().isDone()).isFalse();
  }

  @Test
  void aCancelReportsWhetherTheSequenceWasHeld() throws Exception {
    RecordingListener listener = generate(request("r", ENDLESS_OUTPUT_TOKENS, TEST_TIMEOUT));
    awaitUntil(() -> listener.count() > 0);

    assertThat(await(engine.cancel(sequence("r"), TEST_TIMEOUT))).isEqualTo(CancelResult.RELEASED);
    assertThat(await(engine.cancel(sequence("r"), TEST_TIMEOUT))).isEqualTo(CancelResult.NOT_HELD);
  }

  @Test
  void aCancelWhoseResponseIsLostIsReportedAsUnanswered() throws Exception {
    server.faults().once(EngineOperation.CANCEL, Fault.LOST_AFTER_EFFECT);
    CompletionStage<CancelResult> result = engine.cancel(sequence("r"), TEST_TIMEOUT);
    expireTimeoutIfNoResponse(EngineFailure.SILENT, EngineOperation.CANCEL);

    assertThat(await(result)).isEqualTo(CancelResult.UNANSWERED);
  }

  @Test
  void theListOfHeldMemoryNamesSequencesAndExports() throws Exception {
    RecordingListener listener = generate(request("r", ENDLESS_OUTPUT_TOKENS, TEST_TIMEOUT));
    awaitUntil(() -> listener.count() > 0);
    server.core().freeze();
    HeldMemory held = success(await(engine.heldMemory(TEST_TIMEOUT)));

    assertThat(held.exports()).isEmpty();
    assertThat(held.sequences()).hasSize(1);
    assertThat(held.sequences().get(0).id()).isEqualTo(sequence("r"));
    assertThat(held.sequences().get(0).tokens()).isEqualTo(server.core().usedTokens());
  }

  @Test
  void anExportHoldsMemoryUntilItIsReleased() throws Exception {
    RecordingListener listener = generate(request("r", 1_000, TEST_TIMEOUT));
    awaitUntil(() -> listener.count() > 0);
    server.core().freeze();
    ExportId export = success(await(engine.exportCache(sequence("r"), TEST_TIMEOUT)));
    ImportAccepted imported =
        success(await(engine.importCache("127.0.0.1:1", export, sequence("other"), TEST_TIMEOUT)));
    HeldMemory held = success(await(engine.heldMemory(TEST_TIMEOUT)));

    assertThat(imported.tokens()).isEqualTo(held.exports().get(0).tokens());
    assertThat(held.sequences()).hasSize(2);
    assertThat(await(engine.releaseExport(export, TEST_TIMEOUT))).isEqualTo(CancelResult.RELEASED);
    assertThat(await(engine.cancel(sequence("other"), TEST_TIMEOUT)))
        .isEqualTo(CancelResult.RELEASED);
    assertThat(await(engine.cancel(sequence("r"), TEST_TIMEOUT))).isEqualTo(CancelResult.RELEASED);
    assertThat(server.core().usedTokens()).isEqualTo(0);
  }

  @Test
  void theLoadReportIsRead() throws Exception {
    assertThat(success(await(engine.load(TEST_TIMEOUT))))
        .isEqualTo(new EngineLoad(MEMORY_TOKENS, 0, 0, 0, "1", EngineRole.MIXED));
  }

  @Test
  void lostCacheEventsAreReportedAsAGap() throws Exception {
    String longPrompt = "Council order. ".repeat(400);
    EngineRequest request =
        new EngineRequest(sequence("r"), longPrompt, SHORT_OUTPUT_TOKENS, 0, TEST_TIMEOUT, 0, "");
    await(generate(request).end());
    CacheEvents complete = success(await(engine.cacheEvents(0, TEST_TIMEOUT)));
    server.core().loseCacheEvents(1);
    CacheEvents gapped = success(await(engine.cacheEvents(0, TEST_TIMEOUT)));

    assertThat(complete.gap()).isFalse();
    assertThat(complete.events()).hasSize((int) complete.lastSequence());
    assertThat(gapped.gap()).isTrue();
    assertThat(gapped.events()).isEqualTo(complete.events().subList(1, complete.events().size()));
  }

  @Test
  void anOrderWithAnOldFencingNumberIsFenced() throws Exception {
    assertThat(await(engine.order(order(7), TEST_TIMEOUT))).isEqualTo(new OrderResult.Accepted());
    assertThat(await(engine.order(order(6), TEST_TIMEOUT))).isEqualTo(new OrderResult.Fenced(7));
  }

  @ParameterizedTest
  @CsvSource({
    "LOST_AFTER_EFFECT, SILENT",
    "CUT, CONNECTION_LOST",
    "ERROR, ENGINE_ERROR",
  })
  void anOrderWhoseResponseIsLostIsReportedAsUnanswered(Fault fault, EngineFailure failure)
      throws Exception {
    server.faults().once(EngineOperation.ORDER, fault);
    CompletionStage<OrderResult> result = engine.order(order(7), TEST_TIMEOUT);
    expireTimeoutIfNoResponse(failure, EngineOperation.ORDER);

    assertThat(await(result)).isEqualTo(new OrderResult.Unanswered(failure));
  }

  @ParameterizedTest
  @CsvSource({
    "LOST_AFTER_EFFECT, SILENT",
    "FROZEN, SILENT",
    "CUT, CONNECTION_LOST",
    "MALFORMED, MALFORMED",
    "OVERSIZE, MALFORMED",
    "ERROR, ENGINE_ERROR",
  })
  void aFaultyResponseToAQueryIsATypedFailure(Fault fault, EngineFailure failure) throws Exception {
    server.faults().once(EngineOperation.HELD, fault);
    CompletionStage<EngineResult<HeldMemory>> result = engine.heldMemory(TEST_TIMEOUT);
    expireTimeoutIfNoResponse(failure, EngineOperation.HELD);

    assertThat(await(result)).isEqualTo(new EngineResult.Failure<>(failure));
  }

  private static EngineOrder order(long fencingNumber) {
    return new EngineOrder(
        fencingNumber, "stand-in", "1", ImmutableSortedSet.of("ordinances"), EngineRole.MIXED);
  }

  private static <T> T success(EngineResult<T> result) {
    return ((EngineResult.Success<T>) result).value();
  }
}
