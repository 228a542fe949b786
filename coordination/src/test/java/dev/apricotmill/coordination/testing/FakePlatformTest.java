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
  private final FakePlatform fake = new FakePlatform(time);
  private final VirtualScheduler scheduler = time.newScheduler();
  private final Platform platform = fake.clientFor("d1", new Zone("z1"), scheduler);

  @Test
  void aLateWriteLandsAfterItsIndeterminateAnswer() {
    fake.failNext(PlatformFault.LATE_WRITE);
    CompletionStage<WriteResult> write = put();
    time.advance(TIMEOUT);
    assertThat(now(write)).isEqualTo(new WriteResult.Indeterminate(PlatformFailure.NO_ANSWER));
    assertThat(read()).isInstanceOf(ReadResult.NotFound.class);
    time.advance(Duration.ofSeconds(5));
    assertThat(read()).isInstanceOf(ReadResult.Found.class);
  }

  @Test
  void aLostAnswerLeavesTheWriteInPlace() {
    fake.failNext(PlatformFault.ANSWER_LOST);
    CompletionStage<WriteResult> write = put();
    time.advance(TIMEOUT);
    assertThat(now(write)).isInstanceOf(WriteResult.Indeterminate.class);
    assertThat(read()).isInstanceOf(ReadResult.Found.class);
  }

  @Test
  void aFrozenProcessGetsItsAnswerWhenItWakes() {
    CompletionStage<WriteResult> write = put();
    scheduler.pause();
    time.advance(Duration.ofSeconds(9));
    assertThat(write.toCompletableFuture().isDone()).isFalse();
    scheduler.resume();
    time.runDue();
    assertThat(now(write)).isInstanceOf(WriteResult.Written.class);
  }

  @Test
  void aWaitingWatchAnswersAChangeAndBreaksWhenThePlatformGoesDown() {
    CompletionStage<WatchResult> first = platform.watch("a/", 0, Duration.ofSeconds(30));
    time.advance(Duration.ofSeconds(3));
    put();
    time.advance(Duration.ofMillis(10));
    WatchResult.Changes changes = (WatchResult.Changes) now(first);
    assertThat(changes.changed()).hasSize(1);
    CompletionStage<WatchResult> second =
        platform.watch("a/", changes.revision(), Duration.ofSeconds(30));
    time.advance(Duration.ofSeconds(1));
    fake.fail(PlatformFault.UNREACHABLE);
    time.runDue();
    assertThat(now(second)).isInstanceOf(WatchResult.Unavailable.class);
    assertThat(fake.log().count(call -> call.operation() == PlatformOperation.WATCH)).isEqualTo(2);
  }

  @Test
  void ofTwoRacingWritesOneConflicts() {
    CompletionStage<WriteResult> first = put();
    CompletionStage<WriteResult> second = put();
    time.advance(TIMEOUT);
    assertThat(now(first)).isInstanceOf(WriteResult.Written.class);
    assertThat(now(second)).isInstanceOf(WriteResult.Conflict.class);
  }

  private CompletionStage<WriteResult> put() {
    return platform.put(KEY, "v".getBytes(UTF_8), Precondition.absent(), TIMEOUT);
  }

  private ReadResult read() {
    CompletionStage<ReadResult> read = platform.get(KEY, TIMEOUT);
    time.advance(Duration.ofMillis(10));
    return now(read);
  }

  private static <T> T now(CompletionStage<T> stage) {
    return stage.toCompletableFuture().join();
  }
}
