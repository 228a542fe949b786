package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.truth.StandardSubjectBuilder;

/** Checks the outcome of {@link ServerNoticeSeries}. */
final class ServerNoticeChecks {

  private ServerNoticeChecks() {}

  /** Plays a series with and without the servers' notices and checks both. */
  static void check(int nodeCount, int engineCount, long seed) {
    ServerNoticeSeries.Outcome without =
        ServerNoticeSeries.play(nodeCount, engineCount, seed, false);
    ServerNoticeSeries.Outcome with = ServerNoticeSeries.play(nodeCount, engineCount, seed, true);
    StandardSubjectBuilder check =
        assertWithMessage(
            "%s nodes, %s engines, seed %s: %s; disruptions:\n%s\n",
            nodeCount, engineCount, seed, with.record().summary(), String.join("\n", with.trace()));

    check
        .withMessage("requests that nodes accepted and sent on to leaving servers")
        .that(with.record().lateArrivalsAtLeavingServers(ServerNoticeSeries.drainBound(nodeCount)))
        .isEmpty();
    check
        .withMessage("requests that nodes sent to servers that they knew to leave")
        .that(with.record().arrivalsAfterLeavingNotice())
        .isEmpty();
    check
        .withMessage("pauses with too many requests")
        .that(with.record().overrunPauses())
        .isEmpty();
    check.withMessage("requests that ran").that(with.toldNotRun()).isEmpty();
    check.withMessage("unused servers").that(with.unusedServers()).isEmpty();
    checkServedShare(check.withMessage("engines"), with.pool(), without.pool());
    checkServedShare(check.withMessage("servers without engines"), with.desk(), without.desk());
  }

  private static void checkServedShare(
      StandardSubjectBuilder check,
      ServerNoticeSeries.ServiceOutcome with,
      ServerNoticeSeries.ServiceOutcome without) {
    check
        .withMessage("served share")
        .that(with.servedShare())
        .isAtLeast(without.servedShare() - with.missingShare());
  }
}
