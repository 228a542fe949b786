package dev.apricotmill.coordination.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.PlatformRequest;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

final class ConfigurationStoreTest {

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform fakePlatform = new FakePlatform(time);
  private final ConfigurationStore store = newStore("operator-1");

  @Test
  void anAcceptedChangeCanBeLoadedAndIsInTheHistory() {
    ConfigurationHead head = accepted(propose(0, "c1", "one"));
    BundleResult.Loaded loaded = (BundleResult.Loaded) await(store.load(head));
    assertThat(loaded.bundle().parts().get("p")).isEqualTo(content("one"));
    accepted(propose(1, "c2", "two"));
    HistoryResult.Listed history = (HistoryResult.Listed) await(store.history(10));
    assertThat(history.heads().stream().map(ConfigurationHead::changeId))
        .containsExactly("c2", "c1")
        .inOrder();
    assertThat(await(store.readGeneration(1))).isEqualTo(new HeadResult.Found(head));
  }

  @Test
  void theLoserOfTwoRacingProposalsGetsTheAcceptedChange() {
    CompletionStage<ChangeResult> first = store.propose(change(0, "c1", "one"));
    CompletionStage<ChangeResult> second = newStore("operator-2").propose(change(0, "c2", "two"));
    ChangeResult one = await(first);
    ChangeResult two = await(second);
    ChangeResult loser = one instanceof ChangeResult.Accepted ? two : one;
    ConfigurationHead winner = accepted(loser == two ? one : two);
    assertThat(((ChangeResult.ConflictsWith) loser).other()).isEqualTo(winner);
  }

  @Test
  void aLostResponseToAnAcceptedChangeIsResolvedByItsIdentifier() {
    failHeadUpdate(PlatformFault.ANSWER_LOST);
    accepted(propose(0, "c1", "one"));
    assertThat(currentChangeId()).isEqualTo("c1");
  }

  @Test
  void aDelayedUpdateCannotTakeEffectAfterTheProposalThatReplacedIt() {
    accepted(propose(0, "c1", "one"));
    failHeadUpdate(PlatformFault.DELAYED_WRITE);
    accepted(propose(1, "c2", "two"));
    accepted(propose(2, "c3", "three"));
    time.advance(Duration.ofMinutes(1));
    assertThat(currentChangeId()).isEqualTo("c3");
  }

  @Test
  void anUndeterminedChangeCanBeProposedAgainAndIsAcceptedOnce() {
    accepted(propose(0, "c1", "one"));
    failHeadUpdate(PlatformFault.ANSWER_LOST);
    CompletionStage<ChangeResult> lost = store.propose(change(1, "c2", "two"));
    time.advance(Duration.ofMillis(100));
    fakePlatform.fail(PlatformFault.UNREACHABLE);
    assertThat(await(lost)).isEqualTo(new ChangeResult.Undetermined("c2"));
    fakePlatform.heal();
    accepted(propose(2, "c3", "three"));
    assertThat(accepted(propose(1, "c2", "two")).generation()).isEqualTo(2);
    assertThat(currentChangeId()).isEqualTo("c3");
  }

  @Test
  void aRefusedChangeIsNotAccepted() {
    fakePlatform.fail(PlatformFault.OUT_OF_SERVICE);
    assertThat(propose(0, "c1", "one")).isInstanceOf(ChangeResult.Unavailable.class);
    fakePlatform.heal();
    assertThat(await(store.readHead())).isInstanceOf(HeadResult.None.class);
  }

  @Test
  void aPartAboveTheSizeLimitIsNamedInTheResult() {
    PartContent large = PartContent.copyOf(new byte[Platform.MAX_VALUE_BYTES + 1]);
    ConfigurationChange change =
        new ConfigurationChange(0, ImmutableMap.of("big", large), "ana", "c1");
    assertThat(await(store.propose(change)))
        .isEqualTo(new ChangeResult.PartTooLarge("big", large.size()));
  }

  @Test
  void onlyChangedPartsAreWritten() {
    ImmutableMap<String, PartContent> parts =
        ImmutableMap.of("a", content("same"), "b", content("one"));
    accepted(await(store.propose(new ConfigurationChange(0, parts, "ana", "c1"))));
    long writesBefore = partWriteCount();
    ImmutableMap<String, PartContent> changed =
        ImmutableMap.of("a", content("same"), "b", content("two"));
    accepted(await(store.propose(new ConfigurationChange(1, changed, "ana", "c2"))));
    assertThat(partWriteCount() - writesBefore).isEqualTo(1);
  }

  private long partWriteCount() {
    return fakePlatform
        .log()
        .count(
            call ->
                call.operation() == PlatformOperation.PUT
                    && call.path().startsWith("config/parts/"));
  }

  private void failHeadUpdate(PlatformFault fault) {
    if (currentChangeId().isEmpty()) {
      fakePlatform.failNext(1, PlatformFault.ANSWER_LOST, ConfigurationStoreTest::isHeadPut);
    }
    fakePlatform.failNext(1, fault, ConfigurationStoreTest::isHeadPut);
  }

  private static boolean isHeadPut(PlatformRequest call) {
    return call.operation() == PlatformOperation.PUT && call.path().equals("config/head");
  }

  private String currentChangeId() {
    HeadResult result = await(store.readHead());
    return result instanceof HeadResult.Found found ? found.head().changeId() : "";
  }

  private ChangeResult propose(long expected, String changeId, String text) {
    return await(store.propose(change(expected, changeId, text)));
  }

  private static ConfigurationChange change(long expected, String changeId, String text) {
    return new ConfigurationChange(expected, ImmutableMap.of("p", content(text)), "ana", changeId);
  }

  private static PartContent content(String text) {
    return PartContent.copyOf(text.getBytes(UTF_8));
  }

  private static ConfigurationHead accepted(ChangeResult result) {
    assertThat(result).isInstanceOf(ChangeResult.Accepted.class);
    return ((ChangeResult.Accepted) result).head();
  }

  private ConfigurationStore newStore(String process) {
    VirtualScheduler scheduler = time.newScheduler();
    return new ConfigurationStore(
        time.timingOf(scheduler),
        fakePlatform.clientFor(process, new Zone("z1"), scheduler),
        WriterSettings.defaults(),
        new SplittableRandom(3));
  }

  private <T> T await(CompletionStage<T> stage) {
    time.advance(Duration.ofSeconds(20));
    return stage.toCompletableFuture().join();
  }
}
