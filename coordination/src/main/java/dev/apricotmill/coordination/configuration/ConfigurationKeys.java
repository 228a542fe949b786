package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.platform.ObjectKey;
import java.util.Locale;

/** The object keys of configurations in the platform's object store. */
final class ConfigurationKeys {

  static final ObjectKey HEAD = new ObjectKey("config/head");

  private ConfigurationKeys() {}

  static ObjectKey part(String sha256) {
    return new ObjectKey("config/parts/" + sha256);
  }

  /** Pads the generation with zeros so that a listing by path is in order of generation. */
  static ObjectKey history(long generation) {
    return new ObjectKey(String.format(Locale.ROOT, "config/history/%012d", generation));
  }
}
