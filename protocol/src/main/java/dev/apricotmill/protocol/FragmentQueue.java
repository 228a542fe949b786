package dev.apricotmill.protocol;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import dev.apricotmill.protocol.generated.Frame;
import dev.apricotmill.protocol.generated.Part;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Splits messages into parts and writes them round-robin over the streams, so that a large message
 * does not delay small ones. Writes only while the channel is writable. Not thread-safe: confined
 * to the channel's event loop.
 */
final class FragmentQueue {

  /** Over a slow link, the receiver can tell by parts of this size that a message is arriving. */
  private static final int PREFERRED_PART_BYTES = 16 << 10;

  private final Channel channel;
  private final int maximumPartBytes;
  private final Map<Long, ArrayDeque<OutgoingMessage>> pendingMessages = new LinkedHashMap<>();

  FragmentQueue(Channel channel, TransportLimits limits) {
    this.channel = channel;
    maximumPartBytes = Math.min(PREFERRED_PART_BYTES, limits.maximumPartBytes());
  }

  /**
   * Queues a message; {@code onWritten} runs once its last part has been written to the channel.
   */
  void send(long streamId, MessageLite message, boolean endStream, Runnable onWritten) {
    pendingMessages
        .computeIfAbsent(streamId, key -> new ArrayDeque<>())
        .add(new OutgoingMessage(message.toByteString(), endStream, onWritten));
    writePending();
  }

  /** Drops the parts of a stream that have not been written to the channel. */
  void discard(long streamId) {
    pendingMessages.remove(streamId);
  }

  /** Writes pending parts while the channel is writable. */
  void writePending() {
    boolean written = false;
    while (channel.isWritable() && !pendingMessages.isEmpty()) {
      writeNextPart();
      written = true;
    }
    if (written) {
      channel.flush();
    }
  }

  private void writeNextPart() {
    Iterator<Map.Entry<Long, ArrayDeque<OutgoingMessage>>> entries =
        pendingMessages.entrySet().iterator();
    Map.Entry<Long, ArrayDeque<OutgoingMessage>> entry = entries.next();
    entries.remove();
    OutgoingMessage message = entry.getValue().element();
    Part part = message.nextPart(maximumPartBytes);
    channel.write(
        Frame.newBuilder().setStream(entry.getKey()).setPart(part).build(), channel.voidPromise());
    if (part.getLast()) {
      entry.getValue().remove();
      message.onWritten.run();
    }
    if (!entry.getValue().isEmpty()) {
      pendingMessages.put(entry.getKey(), entry.getValue());
    }
  }

  private static final class OutgoingMessage {
    private final ByteString bytes;
    private final boolean endStream;
    private final Runnable onWritten;
    private int offset;

    OutgoingMessage(ByteString bytes, boolean endStream, Runnable onWritten) {
      this.bytes = bytes;
      this.endStream = endStream;
      this.onWritten = onWritten;
    }

    Part nextPart(int maximumBytes) {
      int end = (int) Math.min(bytes.size(), (long) offset + maximumBytes);
      boolean last = end == bytes.size();
      Part part =
          Part.newBuilder()
              .setData(bytes.substring(offset, end))
              .setLast(last)
              .setEndStream(last && endStream)
              .build();
      offset = end;
      return part;
    }
  }
}
