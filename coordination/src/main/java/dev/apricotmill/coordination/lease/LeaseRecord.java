package dev.apricotmill.coordination.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import java.io.IOException;
import java.util.Optional;

/**
 * A lease as stored on the platform, encoded as JSON.
 *
 * @param holder the name of the daemon that holds the lease, empty if the lease is free
 * @param incarnation the incarnation of that daemon
 * @param nonce identifies the holder's tenure
 * @param durationMillis how long the lease lasts without renewal
 */
record LeaseRecord(String holder, long incarnation, String nonce, long durationMillis) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  static LeaseRecord free() {
    return new LeaseRecord("", 0, "", 0);
  }

  boolean isFree() {
    return holder.isEmpty();
  }

  Optional<Incarnation> heldBy() {
    return isFree()
        ? Optional.empty()
        : Optional.of(new Incarnation(new DaemonId(holder), incarnation));
  }

  byte[] encode() {
    try {
      return MAPPER.writeValueAsBytes(this);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("failed to encode a lease as JSON", impossible);
    }
  }

  /** Returns the decoded record, empty if the bytes are not a valid encoding. */
  static Optional<LeaseRecord> decode(byte[] bytes) {
    try {
      return Optional.of(MAPPER.readValue(bytes, LeaseRecord.class));
    } catch (IOException damaged) {
      return Optional.empty();
    }
  }
}
