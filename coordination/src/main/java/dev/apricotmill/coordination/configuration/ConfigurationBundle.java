package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableMap;

/**
 * A configuration with the bytes of all its parts.
 *
 * @param head the head
 * @param parts the contents by the part's name
 */
public record ConfigurationBundle(ConfigurationHead head, ImmutableMap<String, PartContent> parts) {

  /** Checks that the contents are those that the head names. */
  public ConfigurationBundle {
    if (parts.size() != head.parts().size()) {
      throw new IllegalArgumentException("wrong number of parts");
    }
    for (ConfigurationPart part : head.parts()) {
      PartContent content = parts.get(part.name());
      if (content == null || !content.sha256().equals(part.sha256())) {
        throw new IllegalArgumentException("wrong content of part " + part.name());
      }
    }
  }

  /** Returns the generation of the head. */
  public long generation() {
    return head.generation();
  }
}
