package dev.apricotmill.cli.configuration;

import dev.apricotmill.coordination.configuration.ConfigurationHead;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Who accepted which generation and when.
 *
 * @param generation the generation
 * @param author who made the change
 * @param instant when, by the author's clock
 * @param changeId the identifier of the change
 */
public record HeadSummary(long generation, String author, Instant instant, String changeId) {
  /** Returns the summary of a head. */
  public static HeadSummary of(ConfigurationHead head) {
    return new HeadSummary(head.generation(), head.author(), head.instant(), head.changeId());
  }

  @Override
  public String toString() {
    return "generation "
        + generation
        + " by "
        + author
        + " at "
        + instant.truncatedTo(ChronoUnit.SECONDS);
  }
}
