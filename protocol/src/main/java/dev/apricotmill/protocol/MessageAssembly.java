package dev.apricotmill.protocol;

import com.google.protobuf.ByteString;
import dev.apricotmill.protocol.generated.Part;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Joins the parts of a connection's streams into messages, with a size limit for each, and for all
 * incomplete ones of the connections that share the limit.
 */
final class MessageAssembly {

  private final int maximumMessageBytes;
  private final int maximumIncompleteBytes;
  private final Map<Long, ByteString> incompleteMessages = new HashMap<>();
  private final AtomicLong incompleteBytes;

  /**
   * Creates the assembly of one connection.
   *
   * @param incompleteBytes the bytes of the incomplete messages of all connections
   */
  MessageAssembly(TransportLimits limits, AtomicLong incompleteBytes) {
    maximumMessageBytes = limits.maximumMessageBytes();
    maximumIncompleteBytes = limits.maximumIncompleteBytes();
    this.incompleteBytes = incompleteBytes;
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
    long incomplete = incompleteBytes.addAndGet(part.getData().size());
    if (incomplete > maximumIncompleteBytes) {
      throw new OversizedMessageException(incomplete, maximumIncompleteBytes);
    }
    return Optional.empty();
  }

  /** Drops the incomplete message of a stream. */
  void discard(long streamId) {
    ByteString dropped = incompleteMessages.remove(streamId);
    if (dropped != null) {
      incompleteBytes.addAndGet(-dropped.size());
    }
  }

  /** Drops the incomplete messages of all streams of the connection. */
  void discardAll() {
    incompleteMessages.values().forEach(dropped -> incompleteBytes.addAndGet(-dropped.size()));
    incompleteMessages.clear();
  }
}
