package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableMap;

/**
 * A proposed configuration.
 *
 * @param expectedGeneration the generation that the change is based on; the change is accepted only
 *     if that generation is still current
 * @param parts all parts of the new configuration, by name
 * @param author the author's name
 * @param changeId a unique identifier; the author reuses it to repeat the proposal
 */
public record ConfigurationChange(
    long expectedGeneration,
    ImmutableMap<String, PartContent> parts,
    String author,
    String changeId) {

  /** Checks that the identifier is not empty. */
  public ConfigurationChange {
    if (changeId.isEmpty()) {
      throw new IllegalArgumentException("change identifier must not be empty");
    }
  }
}
