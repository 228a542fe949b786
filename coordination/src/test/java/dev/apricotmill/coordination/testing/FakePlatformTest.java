package dev.apricotmill.coordination.testing;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

final class FakePlatformTest {

  private static final ObjectKey KEY = new ObjectKey("a/b");
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform fakePlatform = new FakePlatform(time);
  private final VirtualScheduler scheduler = time.newScheduler();
  private final Platform platform = fakePlatform.clientFor("d1", new Zone("z1"), scheduler);

  @Test
  void aDelayedWriteTakesEffectAfterItsIndeterminateResult() {
    fakePlatform.failNext(PlatformFault.DELAYED_WRITE);
    CompletionStage<WriteResult> write = put();
    time.advance(TIMEOUT);
    assertThat(resultOf(write)).isEqualTo(new WriteResult.Indeterminate(PlatformFailure.NO_ANSWER));
    assertThat(read()).isInstanceOf(ReadResult.NotFound.class);
    time.advance(Duration.ofSeconds(5));
    assertThat(read()).isInstanceOf(ReadResult.Found.class);
  }

  @Test
  void aWriteWhoseResponseIsLostTakesEffect() {
    fakePlatform.failNext(PlatformFault.ANSWER_LOST);
    CompletionStage<WriteResult> write = put();
    time.advance(TIMEOUT);
    assertThat(resultOf(write)).isInstanceOf(WriteResult.Indeterminate.class);
    assertThat(read()).isInstanceOf(ReadResult.Found.class);
  }

  @Test
  void aPausedProcessGetsItsResponseWhenItResumes() {
    CompletionStage<WriteResult> write = put();
    scheduler.pause();
    time.advance(Duration.ofSeconds(9));
    assertThat(write.toCompletableFuture().isDone()).isFalse();
    scheduler.resume();
    time.runDue();
    assertThat(resultOf(write)).isInstanceOf(WriteResult.Written.class);
  }

  @Test
  void aPendingWatchReturnsAChangeAndFailsWhenThePlatformGoesDown() {
    CompletionStage<WatchResult> first = platform.watch("a/", 0, Duration.ofSeconds(30));
    time.advance(Duration.ofSeconds(3));
    put();
    time.advance(Duration.ofMillis(10));
    WatchResult.Changes changes = (WatchResult.Changes) resultOf(first);
    assertThat(changes.changed()).hasSize(1);
    CompletionStage<WatchResult> second =
        platform.watch("a/", changes.revision(), Duration.ofSeconds(30));
    time.advance(Duration.ofSeconds(1));
    fakePlatform.fail(PlatformFault.UNREACHABLE);
    time.runDue();
    assertThat(resultOf(second)).isInstanceOf(WatchResult.Unavailable.class);
    assertThat(fakePlatform.log().count(call -> call.operation() == PlatformOperation.WATCH))
        .isEqualTo(2);
  }

  @Test
  void oneOfTwoRacingWritesConflicts() {
    CompletionStage<WriteResult> first = put();
    CompletionStage<WriteResult> second = put();
    time.advance(TIMEOUT);
    assertThat(resultOf(first)).isInstanceOf(WriteResult.Written.class);
    assertThat(resultOf(second)).isInstanceOf(WriteResult.Conflict.class);
  }

  private CompletionStage<WriteResult> put() {
    return platform.put(KEY, "v".getBytes(UTF_8), Precondition.absent(), TIMEOUT);
  }

  private ReadResult read() {
    CompletionStage<ReadResult> read = platform.get(KEY, TIMEOUT);
    time.advance(Duration.ofMillis(10));
    return resultOf(read);
  }

  private static <T> T resultOf(CompletionStage<T> stage) {
    return stage.toCompletableFuture().join();
  }
}
