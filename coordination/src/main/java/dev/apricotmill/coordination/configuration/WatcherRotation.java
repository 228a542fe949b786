package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.RendezvousHash;
import java.time.Duration;
import java.time.Instant;

/**
 * Selects the few daemons of a zone that currently watch an object on the platform for all others.
 *
 * <p>The selection changes with every period, so a watcher that cannot reach the platform is soon
 * replaced by one that can. Daemons whose clocks or membership views differ may select different
 * watchers; this costs some extra calls or a short delay.
 */
public final class WatcherRotation {

  private WatcherRotation() {}

  /**
   * Returns whether this daemon is a watcher in the current period.
   *
   * @param watchName the name of the watch; different watches get different watchers
   * @param self this daemon
   * @param view the membership view of this daemon
   * @param now the wall-clock time
   * @param period how long the same daemons stay watchers
   * @param watchersPerZone how many daemons of a zone watch at the same time
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
