package dev.apricotmill.node.relay;

import java.util.ArrayList;
import java.util.List;

/** Buffers chunks as they came, so that what it takes is known to the byte. */
final class ChunkBuffer {

  private final List<byte[]> chunks = new ArrayList<>();
  private int size;

  /** Adds a chunk, which must not be modified. */
  void add(byte[] chunk) {
    chunks.add(chunk);
    size += chunk.length;
  }

  /** Returns the number of bytes. */
  int size() {
    return size;
  }

  /** Returns all bytes in one array. */
  byte[] toByteArray() {
    byte[] bytes = new byte[size];
    int position = 0;
    for (byte[] chunk : chunks) {
      System.arraycopy(chunk, 0, bytes, position, chunk.length);
      position += chunk.length;
    }
    return bytes;
  }

  /** Drops all bytes. */
  void reset() {
    chunks.clear();
    size = 0;
  }
}
