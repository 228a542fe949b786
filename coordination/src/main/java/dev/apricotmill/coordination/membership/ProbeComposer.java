package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Fills probes and their answers with a bounded number of news and payloads.
 *
 * <p>First comes what the receiver must know of itself, then corrections, then recent news, and in
 * the remaining places a little old knowledge by rotation. A daemon that lost all peers of its zone
 * calls none of them dead, since it may be cut off itself.
 */
final class ProbeComposer {

  private static final int PAYLOADS_PER_PROBE = 4;
  private static final int OLD_KNOWLEDGE_PER_PROBE = 2;

  private final MemberTable table;
  private final MembershipSettings settings;
  private final LongSupplier configurationGeneration;
  private final NewsQueue<DaemonId, Member> news = new NewsQueue<>();
  private final NewsQueue<String, ProbePayload> payloadNews = new NewsQueue<>();
  private final Map<String, ProbePayload> payloads = new HashMap<>();
  private long turn;

  ProbeComposer(
      MemberTable table, MembershipSettings settings, LongSupplier configurationGeneration) {
    this.table = table;
    this.settings = settings;
    this.configurationGeneration = configurationGeneration;
  }

  void spread(Member member) {
    news.add(member.incarnation().daemon(), member, transmitLimit());
  }

  void forgetNews() {
    news.clear();
  }

  /** Keeps a payload if it is newer than the known one of its name, and passes it on. */
  void offer(ProbePayload payload) {
    ProbePayload known = payloads.get(payload.name());
    if (known == null || payload.sequence() > known.sequence()) {
      payloads.put(payload.name(), payload);
      payloadNews.add(payload.name(), payload, transmitLimit());
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
        .flatMap(table::fact)
        .filter(member -> member.state() != MemberState.ALIVE)
        .ifPresent(member -> chosen.put(member.incarnation().daemon(), member));
    corrections.stream()
        .limit(settings.newsPerProbe())
        .forEach(member -> chosen.put(member.incarnation().daemon(), member));
    news.take(Math.max(0, settings.newsPerProbe() - chosen.size()))
        .forEach(member -> chosen.putIfAbsent(member.incarnation().daemon(), member));
    addOldKnowledge(chosen);
    if (table.isAlone()) {
      chosen.values().removeIf(member -> member.state() == MemberState.DEAD);
    }
    return new ProbeMessage(
        table.self(),
        ImmutableList.copyOf(chosen.values()),
        configurationGeneration.getAsLong(),
        payloadNews.take(PAYLOADS_PER_PROBE));
  }

  private void addOldKnowledge(Map<DaemonId, Member> chosen) {
    ImmutableList<Member> living =
        table.facts().stream()
            .filter(member -> member.state() != MemberState.DEAD)
            .collect(ImmutableList.toImmutableList());
    for (int i = 0; i < Math.min(OLD_KNOWLEDGE_PER_PROBE, living.size()); i++) {
      Member member = living.get((int) (turn++ % living.size()));
      if (chosen.size() < settings.newsPerProbe()) {
        chosen.putIfAbsent(member.incarnation().daemon(), member);
      }
    }
  }

  private int transmitLimit() {
    return NewsQueue.transmitLimit(table.facts().size() + 1);
  }
}
