package dev.apricotmill.coordination.memory;

import java.util.ArrayList;
import java.util.List;

/** Buffers chunks as they came, so that what it takes is known to the byte. Not thread-safe. */
public final class ChunkBuffer {

  private final List<byte[]> chunks = new ArrayList<>();
  private int size;

  /** Adds a chunk, which must not be modified. */
  public void add(byte[] chunk) {
    chunks.add(chunk);
    size += chunk.length;
  }

  /** Returns the number of bytes. */
  public int size() {
    return size;
  }

  /** Returns all bytes in one array. */
  public byte[] toByteArray() {
    byte[] bytes = new byte[size];
    int position = 0;
    for (byte[] chunk : chunks) {
      System.arraycopy(chunk, 0, bytes, position, chunk.length);
      position += chunk.length;
    }
    return bytes;
  }

  /** Drops all bytes. */
  public void reset() {
    chunks.clear();
    size = 0;
  }
}
