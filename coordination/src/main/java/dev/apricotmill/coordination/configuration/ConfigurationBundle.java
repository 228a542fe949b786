package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableMap;

/**
 * A configuration with the bytes of all its parts.
 *
 * @param head the head
 * @param parts the part contents, by part name
 */
public record ConfigurationBundle(ConfigurationHead head, ImmutableMap<String, PartContent> parts) {

  /** Checks that each part of the head is present and matches its SHA-256. */
  public ConfigurationBundle {
    if (parts.size() != head.parts().size()) {
      throw new IllegalArgumentException(
          "wrong number of parts: expected " + head.parts().size() + ", got " + parts.size());
    }
    for (ConfigurationPart part : head.parts()) {
      PartContent content = parts.get(part.name());
      if (content == null || !content.sha256().equals(part.sha256())) {
        throw new IllegalArgumentException(
            "part is missing or does not match its SHA-256: " + part.name());
      }
    }
  }

  /** Returns the head's generation. */
  public long generation() {
    return head.generation();
  }
}
