package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class FollowObserverTest {

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform store = new FakePlatform(time);
  private final VirtualScheduler scheduler = time.newScheduler();
  private final List<PeerFault> faults = new ArrayList<>();
  private int polls;

  @Test
  void aPeerThatStaysBehindIsReportedOnce() {
    Member self = FollowerFleet.member("n1", "a", 1);
    FollowResponse unknown = new FollowResponse(ImmutableMap.of(), Duration.ZERO);
    SharedFollower follower =
        new SharedFollower(
            store.clientFor("n1", self.zone(), scheduler),
            time.timingOf(scheduler),
            new SplittableRandom(1),
            self,
            (peer, request, limits, callback) -> {
              polls++;
              callback.accept(new PollResult(Optional.of(unknown), 0));
            },
            new FollowObserver() {
              @Override
              public void onPeerBackoff(
                  Member peer, PeerFault fault, long receivedBytes, Duration backoff) {
                faults.add(fault);
              }

              @Override
              public void onRankChanged(int rank) {}
            });
    follower.updateMembers(List.of(self, FollowerFleet.member("n2", "a", 1)));
    store.failProcess("n1", PlatformFault.UNREACHABLE);
    follower.follow(FollowerFleet.PREFIX, FollowerFleet.SETTINGS, new SilentListener());
    follower.start();

    time.advance(Duration.ofSeconds(5));

    assertThat(polls).isAtLeast(10);
    assertThat(faults).containsExactly(PeerFault.BEHIND);
  }

  private static final class SilentListener implements FollowListener {

    @Override
    public void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {}

    @Override
    public void onChanges(WatchResult.Changes changes, ReadTimestamp readAt) {}

    @Override
    public void onUnavailable(PlatformFailure failure) {}
  }
}
