package dev.apricotmill.core.request;

/**
 * Fingerprint of a prompt's first block. Requests with a common prefix are routed by it to a
 * replica that may have the prefix cached.
 *
 * @param hash a 64-bit hash of the block; zero if the prompt is too short to be worth caching
 */
public record PrefixFingerprint(long hash) {

  /** The fingerprint of prompts too short to be worth caching. */
  public static final PrefixFingerprint NONE = new PrefixFingerprint(0);

  /** Returns whether the prompt is long enough to be worth caching. */
  public boolean isPresent() {
    return hash != 0;
  }
}
