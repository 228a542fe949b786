package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableMap;

/**
 * A configuration that its author wants to be accepted.
 *
 * @param expectedGeneration the generation that it was made from
 * @param parts all parts of the new configuration by name
 * @param author who made it
 * @param changeId a unique identifier, the same when the author repeats the proposal
 */
public record ConfigurationChange(
    long expectedGeneration,
    ImmutableMap<String, PartContent> parts,
    String author,
    String changeId) {

  /** Checks that the change can be told from others. */
  public ConfigurationChange {
    if (changeId.isEmpty()) {
      throw new IllegalArgumentException("change identifier is empty");
    }
  }
}
