package dev.apricotmill.daemon.inner;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbePayload;
import dev.apricotmill.protocol.generated.Payload;
import dev.apricotmill.protocol.generated.Probe;

/** Maps members and probes to messages and back. */
final class MemberMessages {

  private static final String STATE_PREFIX = "MEMBER_STATE_";

  private MemberMessages() {}

  static dev.apricotmill.protocol.generated.Incarnation toMessage(Incarnation incarnation) {
    return dev.apricotmill.protocol.generated.Incarnation.newBuilder()
        .setDaemon(incarnation.daemon().name())
        .setNumber(incarnation.number())
        .build();
  }

  static Incarnation fromMessage(dev.apricotmill.protocol.generated.Incarnation message)
      throws MalformedMessageException {
    try {
      return new Incarnation(new DaemonId(message.getDaemon()), message.getNumber());
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException(e);
    }
  }

  static dev.apricotmill.protocol.generated.Member toMessage(Member member) {
    return dev.apricotmill.protocol.generated.Member.newBuilder()
        .setIncarnation(toMessage(member.incarnation()))
        .setZone(member.zone().name())
        .setHost(member.address().host())
        .setPort(member.address().port())
        .setState(
            EnumMessages.prefixed(
                dev.apricotmill.protocol.generated.MemberState.class, STATE_PREFIX, member.state()))
        .build();
  }

  static Member fromMessage(dev.apricotmill.protocol.generated.Member message)
      throws MalformedMessageException {
    Incarnation incarnation = fromMessage(message.getIncarnation());
    MemberState state =
        EnumMessages.unprefixed(MemberState.class, STATE_PREFIX, message.getState());
    try {
      PeerAddress address = new PeerAddress(message.getHost(), message.getPort());
      return new Member(incarnation, new Zone(message.getZone()), address, state);
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException(e);
    }
  }

  static Probe toMessage(ProbeMessage probe) {
    Probe.Builder message =
        Probe.newBuilder()
            .setSender(toMessage(probe.sender()))
            .setConfigurationGeneration(probe.configurationGeneration());
    probe.updates().forEach(member -> message.addNews(toMessage(member)));
    probe.payloads().forEach(payload -> message.addPayloads(toMessage(payload)));
    return message.build();
  }

  static ProbeMessage fromMessage(Probe message) throws MalformedMessageException {
    ImmutableList.Builder<Member> news = ImmutableList.builder();
    for (dev.apricotmill.protocol.generated.Member member : message.getNewsList()) {
      news.add(fromMessage(member));
    }
    ImmutableList.Builder<ProbePayload> payloads = ImmutableList.builder();
    for (Payload payload : message.getPayloadsList()) {
      payloads.add(
          new ProbePayload(
              payload.getName(), payload.getSequence(), payload.getValue().toByteArray()));
    }
    return new ProbeMessage(
        fromMessage(message.getSender()),
        news.build(),
        message.getConfigurationGeneration(),
        payloads.build());
  }

  private static Payload toMessage(ProbePayload payload) {
    return Payload.newBuilder()
        .setName(payload.name())
        .setSequence(payload.sequence())
        .setValue(wrap(payload.value()))
        .build();
  }

  /** Wraps bytes without a copy; they must not be modified afterwards. */
  static ByteString wrap(byte[] value) {
    return UnsafeByteOperations.unsafeWrap(value);
  }
}
