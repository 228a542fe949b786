package dev.apricotmill.protocol;

import com.google.protobuf.ByteString;
import dev.apricotmill.protocol.generated.Part;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Joins the parts of one connection's streams to messages, within a bound for each and for all. */
final class MessageAssembly {

  private final int maximumMessageBytes;
  private final int maximumUnfinishedBytes;
  private final Map<Long, ByteString> unfinished = new HashMap<>();
  private long unfinishedBytes;

  MessageAssembly(TransportLimits limits) {
    maximumMessageBytes = limits.maximumMessageBytes();
    maximumUnfinishedBytes = limits.maximumUnfinishedBytes();
  }

  /** Takes a part; returns the whole message once its last part has come. */
  Optional<ByteString> add(long stream, Part part) throws OversizedMessageException {
    ByteString before = unfinished.getOrDefault(stream, ByteString.EMPTY);
    int size = before.size() + part.getData().size();
    if (size > maximumMessageBytes) {
      throw new OversizedMessageException(size, maximumMessageBytes);
    }
    ByteString joined = before.concat(part.getData());
    if (part.getLast()) {
      discard(stream);
      return Optional.of(joined);
    }
    unfinished.put(stream, joined);
    unfinishedBytes += part.getData().size();
    if (unfinishedBytes > maximumUnfinishedBytes) {
      throw new OversizedMessageException(unfinishedBytes, maximumUnfinishedBytes);
    }
    return Optional.empty();
  }

  /** Forgets the parts of a stream. */
  void discard(long stream) {
    ByteString dropped = unfinished.remove(stream);
    if (dropped != null) {
      unfinishedBytes -= dropped.size();
    }
  }

  /** Returns the bytes held for unfinished messages. */
  long unfinishedBytes() {
    return unfinishedBytes;
  }
}
