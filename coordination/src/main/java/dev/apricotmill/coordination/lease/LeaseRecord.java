package dev.apricotmill.coordination.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import java.io.IOException;
import java.util.Optional;

/**
 * A lease as it stands at the platform.
 *
 * @param holder the holder's daemon, empty if the lease is free
 * @param incarnation the number of the holder's incarnation
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
      throw new IllegalStateException("a lease cannot be encoded", impossible);
    }
  }

  /** Returns the record, empty if the bytes are not one. */
  static Optional<LeaseRecord> decode(byte[] bytes) {
    try {
      return Optional.of(MAPPER.readValue(bytes, LeaseRecord.class));
    } catch (IOException damaged) {
      return Optional.empty();
    }
  }
}
