package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.platform.ObjectKey;
import java.util.Locale;

/** Where a configuration is kept in the platform's store. */
final class ConfigurationKeys {

  static final ObjectKey HEAD = new ObjectKey("config/head");

  private ConfigurationKeys() {}

  static ObjectKey part(String sha256) {
    return new ObjectKey("config/parts/" + sha256);
  }

  /** Generations are padded with zeros, so that a list is in their order. */
  static ObjectKey history(long generation) {
    return new ObjectKey(String.format(Locale.ROOT, "config/history/%012d", generation));
  }
}
