package dev.apricotmill.benchmarks.slopes;

import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbePayload;

/** Computes the size of a probe on the wire from its fields, headers of TCP and IP included. */
final class ProbeBytes {

  /** Headers of IP and TCP, and the frame of the inner protocol. */
  private static final int HEADER_BYTES = 64;

  /** Tags, lengths, incarnation number and state of a member. */
  private static final int MEMBER_FIXED_BYTES = 24;

  /** Tags, lengths and sequence of a payload. */
  private static final int PAYLOAD_FIXED_BYTES = 16;

  private ProbeBytes() {}

  static long of(ProbeMessage message) {
    long bytes = HEADER_BYTES + memberBytes(message.sender());
    for (Member member : message.updates()) {
      bytes += memberBytes(member);
    }
    for (ProbePayload payload : message.payloads()) {
      bytes += PAYLOAD_FIXED_BYTES + payload.name().length() + payload.value().length;
    }
    return bytes;
  }

  private static long memberBytes(Member member) {
    return (long) MEMBER_FIXED_BYTES
        + member.incarnation().daemon().name().length()
        + member.zone().name().length()
        + member.address().toString().length();
  }
}
