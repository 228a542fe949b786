package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Fills probes and their replies with a bounded number of member updates and payloads.
 *
 * <p>In order of priority: the state of the receiver if it is not alive, corrections, recent
 * updates, and a few other members in round-robin order for anti-entropy. A daemon that lost all
 * peers of its zone reports no member as dead, since it may be partitioned itself.
 */
final class ProbeComposer {

  private static final int PAYLOADS_PER_PROBE = 4;
  private static final int ANTI_ENTROPY_MEMBERS_PER_PROBE = 2;

  private final MemberTable table;
  private final MembershipSettings settings;
  private final LongSupplier configurationGeneration;
  private final GossipQueue<DaemonId, Member> memberQueue = new GossipQueue<>();
  private final GossipQueue<String, ProbePayload> payloadQueue = new GossipQueue<>();
  private final Map<String, ProbePayload> payloads = new HashMap<>();
  private long cursor;

  ProbeComposer(
      MemberTable table, MembershipSettings settings, LongSupplier configurationGeneration) {
    this.table = table;
    this.settings = settings;
    this.configurationGeneration = configurationGeneration;
  }

  void enqueue(Member member) {
    memberQueue.add(member.incarnation().daemon(), member, transmitLimit());
  }

  void clearMemberQueue() {
    memberQueue.clear();
  }

  /** Stores and gossips a payload if it is newer than the known one with the same name. */
  void offer(ProbePayload payload) {
    ProbePayload known = payloads.get(payload.name());
    if (known == null || payload.sequence() > known.sequence()) {
      payloads.put(payload.name(), payload);
      payloadQueue.add(payload.name(), payload, transmitLimit());
    }
  }

  ImmutableList<ProbePayload> payloads(String prefix) {
    return payloads.values().stream()
        .filter(payload -> payload.name().startsWith(prefix))
        .sorted((a, b) -> a.name().compareTo(b.name()))
        .collect(ImmutableList.toImmutableList());
  }

  ProbeMessage compose(Optional<DaemonId> receiver, ImmutableList<Member> corrections) {
    Map<DaemonId, Member> chosen = new LinkedHashMap<>();
    receiver
        .flatMap(table::find)
        .filter(member -> member.state() != MemberState.ALIVE)
        .ifPresent(member -> chosen.put(member.incarnation().daemon(), member));
    corrections.stream()
        .limit(settings.updatesPerProbe())
        .forEach(member -> chosen.put(member.incarnation().daemon(), member));
    memberQueue
        .take(Math.max(0, settings.updatesPerProbe() - chosen.size()))
        .forEach(member -> chosen.putIfAbsent(member.incarnation().daemon(), member));
    addAntiEntropyMembers(chosen);
    if (table.isIsolated()) {
      chosen.values().removeIf(member -> member.state() == MemberState.DEAD);
    }
    return new ProbeMessage(
        table.self(),
        ImmutableList.copyOf(chosen.values()),
        configurationGeneration.getAsLong(),
        payloadQueue.take(PAYLOADS_PER_PROBE));
  }

  private void addAntiEntropyMembers(Map<DaemonId, Member> chosen) {
    ImmutableList<Member> notDead =
        table.members().stream()
            .filter(member -> member.state() != MemberState.DEAD)
            .collect(ImmutableList.toImmutableList());
    for (int i = 0; i < Math.min(ANTI_ENTROPY_MEMBERS_PER_PROBE, notDead.size()); i++) {
      Member member = notDead.get((int) (cursor++ % notDead.size()));
      if (chosen.size() < settings.updatesPerProbe()) {
        chosen.putIfAbsent(member.incarnation().daemon(), member);
      }
    }
  }

  private int transmitLimit() {
    return GossipQueue.transmitLimit(table.members().size() + 1);
  }
}
