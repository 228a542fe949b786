package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class SingleFollowerTest {

  private static final FollowSettings SETTINGS =
      new FollowSettings(
          Duration.ofSeconds(2),
          Duration.ofSeconds(1),
          Duration.ofMillis(100),
          Duration.ofMillis(800),
          Duration.ofMillis(10),
          Duration.ofSeconds(6));

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform store = new FakePlatform(time);
  private final VirtualScheduler scheduler = time.newScheduler();
  private final Platform client = store.clientFor("n1", new Zone("a"), scheduler);
  private final Platform operator = store.clientFor("operator", new Zone("a"), time.newScheduler());
  private final Recorder recorder = new Recorder();
  private final SharedFollower follower =
      new SharedFollower(
          client,
          time.timingOf(scheduler),
          new SplittableRandom(1),
          FollowerFleet.member("n1", "a", 1),
          (peer, poll, timeout, callback) -> callback.accept(new PollResult(Optional.empty(), 0)),
          FollowObserver.NONE);

  @Test
  void theSnapshotIsReceivedFirstAndThenEachChange() {
    put("things/a", "1");
    follow();
    time.advance(Duration.ofMillis(100));

    put("things/b", "2");

    assertThat(recorder.received).containsExactly("content a=1", "changed b=2").inOrder();
  }

  @Test
  void afterACompactionTheStoreIsListedAgain() {
    follow();
    time.advance(Duration.ofMillis(100));
    store.failProcess("n1", PlatformFault.UNREACHABLE);
    time.advance(Duration.ofSeconds(3));
    put("things/a", "1");
    store.compact();
    store.heal();

    time.advance(Duration.ofSeconds(4));

    assertThat(recorder.received).contains("changed a=1");
  }

  @Test
  void anOutageIsReportedAndRetriedWithBackoff() {
    store.fail(PlatformFault.UNREACHABLE, request -> true);
    follow();

    time.advance(Duration.ofSeconds(10));

    assertThat(recorder.failures.size()).isAtLeast(10);
    assertThat(recorder.failures.size()).isAtMost(40);
  }

  @Test
  void theTimestampOfAReadIsTakenBeforeItIsSent() {
    follow();
    time.advance(Duration.ofSeconds(5));

    assertThat(recorder.timestamps.get(0).monotonicNanos()).isEqualTo(0);
    assertThat(recorder.timestamps)
        .isInOrder(
            (a, b) ->
                Long.compare(
                    ((ReadTimestamp) a).monotonicNanos(), ((ReadTimestamp) b).monotonicNanos()));
    long last = recorder.timestamps.get(recorder.timestamps.size() - 1).monotonicNanos();
    assertThat(Duration.ofNanos(time.nanoTime() - last)).isAtMost(Duration.ofMillis(4_100));
    // The last watch ended after 4 s and was sent after 2 s.
    assertThat(Duration.ofNanos(last)).isAtMost(Duration.ofMillis(2_500));
  }

  private void follow() {
    follower.follow("things/", SETTINGS, recorder);
    follower.start();
  }

  private void put(String path, String value) {
    operator.put(
        new ObjectKey(path),
        value.getBytes(StandardCharsets.UTF_8),
        Precondition.absent(),
        Duration.ofSeconds(1));
    time.advance(Duration.ofMillis(50));
  }

  private static final class Recorder implements FollowListener {

    private final List<String> received = new ArrayList<>();
    private final List<PlatformFailure> failures = new ArrayList<>();
    private final List<ReadTimestamp> timestamps = new ArrayList<>();

    @Override
    public void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
      timestamps.add(readAt);
      objects.forEach(object -> received.add("content " + text(object)));
    }

    @Override
    public void onChanges(WatchResult.Changes changes, ReadTimestamp readAt) {
      timestamps.add(readAt);
      changes.changed().forEach(object -> received.add("changed " + text(object)));
    }

    @Override
    public void onUnavailable(PlatformFailure failure) {
      failures.add(failure);
    }

    private static String text(StoredObject object) {
      return object.key().path().substring("things/".length()) + "=" + object.text();
    }
  }
}
