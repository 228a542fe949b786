package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import java.time.Instant;

/**
 * What identifies one accepted configuration and names its parts.
 *
 * @param generation counts the accepted configurations from 1; zero stands for none
 * @param changeId the author's unique identifier of the change
 * @param author who made it
 * @param instant when it was made by the author's wall clock
 * @param parts the parts
 * @param previousGeneration the generation that it replaced
 */
public record ConfigurationHead(
    long generation,
    String changeId,
    String author,
    Instant instant,
    ImmutableList<ConfigurationPart> parts,
    long previousGeneration) {

  /** Returns the head that stands for no configuration. */
  public static ConfigurationHead none() {
    return new ConfigurationHead(0, "", "", Instant.EPOCH, ImmutableList.of(), 0);
  }
}
