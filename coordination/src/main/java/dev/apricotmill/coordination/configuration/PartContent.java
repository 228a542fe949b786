package dev.apricotmill.coordination.configuration;

import com.google.common.hash.Hashing;

/** The immutable bytes of one configuration part, identified by their SHA-256. */
public final class PartContent {

  private final byte[] bytes;
  private final String sha256;

  private PartContent(byte[] bytes) {
    this.bytes = bytes;
    this.sha256 = Hashing.sha256().hashBytes(bytes).toString();
  }

  /** Returns a content that holds a copy of {@code bytes}. */
  public static PartContent copyOf(byte[] bytes) {
    return new PartContent(bytes.clone());
  }

  /** Returns the SHA-256 in hexadecimal digits. */
  public String sha256() {
    return sha256;
  }

  /** Returns the size in bytes. */
  public int size() {
    return bytes.length;
  }

  /** Returns a copy of the bytes. */
  public byte[] toByteArray() {
    return bytes.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof PartContent that && sha256.equals(that.sha256);
  }

  @Override
  public int hashCode() {
    return sha256.hashCode();
  }

  @Override
  public String toString() {
    return sha256 + "[" + bytes.length + " bytes]";
  }
}
