package dev.apricotmill.coordination.platform;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An object as stored on the platform.
 *
 * @param key the object's key
 * @param version the version set by the last write; at least 1, increases with every write
 * @param value the bytes, at most {@link Platform#MAX_VALUE_BYTES}; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredObject(ObjectKey key, long version, byte[] value) {

  /** Returns the value decoded as UTF-8. */
  public String text() {
    return new String(value, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredObject that
        && key.equals(that.key)
        && version == that.version
        && Arrays.equals(value, that.value);
  }

  @Override
  public int hashCode() {
    return 31 * key.hashCode() + Long.hashCode(version);
  }

  @Override
  public String toString() {
    return key + "@" + version + "[" + value.length + " bytes]";
  }
}
