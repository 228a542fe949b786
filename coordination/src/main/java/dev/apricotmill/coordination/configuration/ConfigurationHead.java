package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import java.time.Instant;

/**
 * The metadata of one accepted configuration: its generation, origin and list of parts.
 *
 * <p>The head is stored as JSON under the names of its components.
 *
 * @param generation the number of the accepted configuration, counted from 1; zero stands for no
 *     configuration
 * @param changeId the author's unique identifier of the change
 * @param author the author's name
 * @param instant when the change was proposed, by the author's wall clock
 * @param parts the name, hash and size of each part
 * @param previousGeneration the generation that it replaced, zero if it is the first
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
