package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.RendezvousHash;
import java.time.Duration;
import java.time.Instant;

/**
 * Decides which few daemons of a zone read something from the platform now, for all others.
 *
 * <p>The choice changes with every turn, so that a watcher which cannot reach the platform is soon
 * followed by one that can. Clocks and views that differ cost some calls more or a moment's delay.
 */
public final class WatcherRotation {

  private WatcherRotation() {}

  /**
   * Returns whether it is this daemon's turn.
   *
   * @param watchName what is read, so that different duties fall to different daemons
   * @param self this daemon
   * @param view the daemons it knows
   * @param now the wall clock
   * @param period how long a turn is
   * @param watchersPerZone how many daemons of a zone have the turn at a time
   */
  public static boolean isWatcher(
      String watchName,
      Member self,
      MembershipView view,
      Instant now,
      Duration period,
      int watchersPerZone) {
    long periodIndex = now.toEpochMilli() / period.toMillis();
    return RendezvousHash.ranked(view.owners(self.zone()), watchName + "/" + periodIndex)
        .limit(watchersPerZone)
        .anyMatch(member -> member.incarnation().daemon().equals(self.incarnation().daemon()));
  }

  static Duration remainingInPeriod(Instant now, Duration period) {
    return Duration.ofMillis(period.toMillis() - now.toEpochMilli() % period.toMillis());
  }
}
