package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.RendezvousHash;
import java.time.Duration;
import java.time.Instant;

/**
 * Decides which few daemons of a zone watch the platform now.
 *
 * <p>The choice changes with every turn, so that a watcher which cannot reach the platform is soon
 * followed by one that can. Clocks and views that differ cost some calls more or a moment's delay.
 */
final class WatchTurn {

  private WatchTurn() {}

  static boolean isOf(
      Member self, MembershipView view, Instant now, Duration turn, int watchersPerZone) {
    long number = now.toEpochMilli() / turn.toMillis();
    return RendezvousHash.ranked(view.owners(self.zone()), "configuration-watch/" + number)
        .limit(watchersPerZone)
        .anyMatch(member -> member.incarnation().daemon().equals(self.incarnation().daemon()));
  }

  static Duration remaining(Instant now, Duration turn) {
    return Duration.ofMillis(turn.toMillis() - now.toEpochMilli() % turn.toMillis());
  }
}
