package dev.apricotmill.core.request;

/**
 * Fingerprint of a prompt's first block, by which requests with a common prefix find the replica
 * that may have it cached.
 *
 * @param hash a 64-bit hash of the block; zero if the prompt is too short to be worth caching
 */
public record PrefixFingerprint(long hash) {

  /** The fingerprint of prompts too short to be worth caching. */
  public static final PrefixFingerprint NONE = new PrefixFingerprint(0);

  /** Returns whether there is a prefix worth caching. */
  public boolean isPresent() {
    return hash != 0;
  }
}
