package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.retry.Backoff;
import java.time.Duration;

/**
 * The times and sizes of a {@link ClaimsLedger}.
 *
 * @param claimBatchDelay how long a claim waits for others that share its update
 * @param recordBatchDelay how long an outcome or withdrawal waits for others that share its update
 * @param retention how long claims are kept; at least the longest window of any service's keys
 * @param claimTimeout how long a claim is attempted
 * @param claimValidity how long after the claim a dispatch may begin
 * @param recordTimeout how long recording an outcome or withdrawal is attempted
 * @param sealRunningAfter the age at which a claim that is still running may be moved to a page
 * @param headSealBytes the size of a shard's head from which finished claims are moved to a page
 * @param maxPageBytes the size up to which a page is rewritten to add claims
 * @param writer the timeouts of conditional updates
 */
public record LedgerSettings(
    Duration claimBatchDelay,
    Duration recordBatchDelay,
    Duration retention,
    Duration claimTimeout,
    Duration claimValidity,
    Duration recordTimeout,
    Duration sealRunningAfter,
    int headSealBytes,
    int maxPageBytes,
    WriterSettings writer) {

  private static final int HEAD_SEAL_BYTES = 32 << 10;
  private static final int MAX_PAGE_BYTES = 512 << 10;

  /** Returns settings for a platform that responds within milliseconds. */
  public static LedgerSettings defaults() {
    return new LedgerSettings(
        Duration.ofMillis(20),
        Duration.ofMillis(250),
        Duration.ofMinutes(15),
        Duration.ofSeconds(3),
        Duration.ofSeconds(5),
        Duration.ofMinutes(1),
        Duration.ofSeconds(5),
        HEAD_SEAL_BYTES,
        MAX_PAGE_BYTES,
        new WriterSettings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            new Backoff(Duration.ofMillis(50), Duration.ofMillis(500))));
  }
}
