package dev.apricotmill.protocol;

import com.google.protobuf.ByteString;
import dev.apricotmill.protocol.generated.Part;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Joins the parts of a connection's streams into messages, with a size limit for each and for all.
 */
final class MessageAssembly {

  private final int maximumMessageBytes;
  private final int maximumIncompleteBytes;
  private final Map<Long, ByteString> incompleteMessages = new HashMap<>();
  private long incompleteBytes;

  MessageAssembly(TransportLimits limits) {
    maximumMessageBytes = limits.maximumMessageBytes();
    maximumIncompleteBytes = limits.maximumIncompleteBytes();
  }

  /** Adds a part; returns the complete message if this was its last part. */
  Optional<ByteString> add(long streamId, Part part) throws OversizedMessageException {
    ByteString received = incompleteMessages.getOrDefault(streamId, ByteString.EMPTY);
    int size = received.size() + part.getData().size();
    if (size > maximumMessageBytes) {
      throw new OversizedMessageException(size, maximumMessageBytes);
    }
    ByteString joined = received.concat(part.getData());
    if (part.getLast()) {
      discard(streamId);
      return Optional.of(joined);
    }
    incompleteMessages.put(streamId, joined);
    incompleteBytes += part.getData().size();
    if (incompleteBytes > maximumIncompleteBytes) {
      throw new OversizedMessageException(incompleteBytes, maximumIncompleteBytes);
    }
    return Optional.empty();
  }

  /** Drops the incomplete message of a stream. */
  void discard(long streamId) {
    ByteString dropped = incompleteMessages.remove(streamId);
    if (dropped != null) {
      incompleteBytes -= dropped.size();
    }
  }

  /** Returns the bytes buffered for incomplete messages. */
  long incompleteBytes() {
    return incompleteBytes;
  }
}
