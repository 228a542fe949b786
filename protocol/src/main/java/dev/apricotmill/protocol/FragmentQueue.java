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
 * Sends messages in parts, taking the streams in turn, so that a large message holds no small one
 * up. Parts leave only while the channel has room. Used on the channel's event loop alone.
 */
final class FragmentQueue {

  private final Channel channel;
  private final int maximumPartBytes;
  private final Map<Long, ArrayDeque<Outgoing>> streams = new LinkedHashMap<>();

  FragmentQueue(Channel channel, TransportLimits limits) {
    this.channel = channel;
    maximumPartBytes = limits.maximumPartBytes();
  }

  /** Queues a message and sends what the channel takes. */
  void send(long stream, MessageLite message, boolean endStream, Runnable onHandedOver) {
    streams
        .computeIfAbsent(stream, key -> new ArrayDeque<>())
        .add(new Outgoing(message.toByteString(), endStream, onHandedOver));
    pump();
  }

  /** Drops what has not been handed to the channel of a stream. */
  void discard(long stream) {
    streams.remove(stream);
  }

  /** Hands parts to the channel while it has room. */
  void pump() {
    boolean written = false;
    while (channel.isWritable() && !streams.isEmpty()) {
      writeNextPart();
      written = true;
    }
    if (written) {
      channel.flush();
    }
  }

  private void writeNextPart() {
    Iterator<Map.Entry<Long, ArrayDeque<Outgoing>>> turns = streams.entrySet().iterator();
    Map.Entry<Long, ArrayDeque<Outgoing>> turn = turns.next();
    turns.remove();
    Outgoing message = turn.getValue().element();
    Part part = message.nextPart(maximumPartBytes);
    channel.write(
        Frame.newBuilder().setStream(turn.getKey()).setPart(part).build(), channel.voidPromise());
    if (part.getLast()) {
      turn.getValue().remove();
      message.onHandedOver.run();
    }
    if (!turn.getValue().isEmpty()) {
      streams.put(turn.getKey(), turn.getValue());
    }
  }

  private static final class Outgoing {
    private final ByteString bytes;
    private final boolean endStream;
    private final Runnable onHandedOver;
    private int offset;

    Outgoing(ByteString bytes, boolean endStream, Runnable onHandedOver) {
      this.bytes = bytes;
      this.endStream = endStream;
      this.onHandedOver = onHandedOver;
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
