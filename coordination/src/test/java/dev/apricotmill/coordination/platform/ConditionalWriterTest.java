package dev.apricotmill.coordination.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

final class ConditionalWriterTest {

  private static final ObjectKey KEY = new ObjectKey("a");

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform fakePlatform = new FakePlatform(time);
  private final VirtualScheduler scheduler = time.newScheduler();
  private final Platform platform = fakePlatform.clientFor("d1", new Zone("z1"), scheduler);
  private final ConditionalWriter writer =
      new ConditionalWriter(
          time.timingOf(scheduler), platform, WriterSettings.defaults(), new SplittableRandom(1));

  @Test
  void aLostResponseAfterTheEffectIsResolvedByReadingTheObject() {
    StoredObject old = create();
    failPut(PlatformFault.ANSWER_LOST);
    UpdateResult.VersionChanged changed = (UpdateResult.VersionChanged) update(old);
    assertThat(changed.current().text()).isEqualTo("new");
  }

  @Test
  void aDelayedWriteIsRejectedBecauseTheVersionWasAdvanced() {
    StoredObject old = create();
    failPut(PlatformFault.DELAYED_WRITE);
    UpdateResult.VersionChanged changed = (UpdateResult.VersionChanged) update(old);
    assertThat(changed.current().text()).isEqualTo("old");
    time.advance(Duration.ofSeconds(30));
    assertThat(read().text()).isEqualTo("old");
  }

  @Test
  void anUpdateIsUndeterminedIfTheObjectCannotBeRead() {
    StoredObject old = create();
    failPut(PlatformFault.ANSWER_LOST);
    fakePlatform.fail(PlatformFault.UNREACHABLE, call -> call.operation() == PlatformOperation.GET);
    assertThat(update(old)).isInstanceOf(UpdateResult.Undetermined.class);
  }

  @Test
  void anUpdateThatWasNeverSentIsNotWritten() {
    StoredObject old = create();
    fakePlatform.fail(PlatformFault.UNREACHABLE);
    assertThat(update(old)).isInstanceOf(UpdateResult.NotWritten.class);
  }

  @Test
  void anObjectIsCreatedOnceEvenIfTheResponseIsLost() {
    failPut(PlatformFault.ANSWER_LOST);
    assertThat(create().text()).isEqualTo("old");
  }

  private void failPut(PlatformFault fault) {
    fakePlatform.failNext(1, fault, call -> call.operation() == PlatformOperation.PUT);
  }

  private StoredObject create() {
    ReadResult result = await(writer.readOrCreate(KEY, "old".getBytes(UTF_8)));
    return ((ReadResult.Found) result).object();
  }

  private UpdateResult update(StoredObject old) {
    return await(writer.update(old, "new".getBytes(UTF_8)));
  }

  private StoredObject read() {
    ReadResult result = await(platform.get(KEY, Duration.ofSeconds(1)));
    return ((ReadResult.Found) result).object();
  }

  private <T> T await(CompletionStage<T> stage) {
    time.advance(Duration.ofSeconds(20));
    return stage.toCompletableFuture().join();
  }
}
