package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Follows objects of the store together with the other processes of a zone.
 *
 * <p>{@link FollowOrder} names who reads the store; the others ask a peer, whose answers carry what
 * changed and how long ago that was proven to be the newest. What counts is the age of the proof
 * and not the way that it took: a process whose proof grows old asks another peer and then reads
 * the store itself. Runs on the scheduler of {@link Timing}, which must have one thread.
 */
public final class SharedFollower implements AutoCloseable {

  /**
   * The part of the shortest freshness that a peer waits for news; bounds how late a silent peer is
   * noticed.
   */
  private static final int WAITS_PER_FRESHNESS = 5;

  /** What an answer may take beyond the wait: a round trip and the turn of a busy process. */
  private static final Duration ANSWER_TIME = Duration.ofMillis(300);

  /** The longest wait that a peer may ask for. */
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(2);

  /** News of several prefixes that come within this time travel in one answer. */
  private static final Duration GATHERING = Duration.ofMillis(30);

  /** The pause after an answer that came at once and told nothing. */
  private static final Duration ASK_AGAIN = Duration.ofMillis(100);

  private static final Duration FIRST_SILENCE = Duration.ofSeconds(1);
  private static final Duration LONGEST_SILENCE = Duration.ofSeconds(8);
  private static final Duration BEHIND = Duration.ofSeconds(1);

  private final Platform platform;
  private final Timing timing;
  private final Member self;
  private final FollowPeers peers;
  private final FollowObserver observer;
  private final Map<String, FollowedPrefix> prefixes = new LinkedHashMap<>();
  private final Map<Member, PassedOver> passedOver = new HashMap<>();
  private final Set<Waiting> waiting = new LinkedHashSet<>();
  private FollowOrder order;
  private @Nullable Member lastAsked;
  private int lastRank = -1;
  private boolean answering;
  private boolean closed;

  /** Creates a follower that knows no other process and follows nothing. */
  public SharedFollower(
      Platform platform, Timing timing, Member self, FollowPeers peers, FollowObserver observer) {
    this.platform = platform;
    this.timing = timing;
    this.self = self;
    this.peers = peers;
    this.observer = observer;
    order = FollowOrder.of(List.of(), self);
  }

  /**
   * Why and until when a peer is not asked.
   *
   * @param fault what the peer did
   * @param untilNanos when it is asked again
   * @param length how long the pause is
   */
  private record PassedOver(PeerFault fault, long untilNanos, Duration length) {}

  /** A question that waits for news. */
  private record Waiting(FollowQuestion question, long arrivedNanos, Consumer<FollowAnswer> then) {}

  /** Begins to follow a prefix. */
  public void follow(String prefix, FollowSettings settings, FollowListener listener) {
    FollowedPrefix followed =
        new FollowedPrefix(
            platform, timing, prefix, settings, listener, this::rank, this::answerWaiting);
    timing
        .scheduler()
        .execute(
            () -> {
              prefixes.put(prefix, followed);
              followed.start();
            });
  }

  /** Begins to ask peers. */
  public void start() {
    timing.scheduler().execute(this::ask);
  }

  /** Takes over the processes that may be alive. */
  public void updateMembers(Collection<Member> members) {
    order = FollowOrder.of(members, self);
    passedOver.keySet().retainAll(members);
    reportRank();
  }

  @Override
  public void close() {
    closed = true;
    prefixes.values().forEach(FollowedPrefix::close);
  }

  /** Answers a peer, at once or when there is news. Safe to call on any thread. */
  public void answer(FollowQuestion question, Consumer<FollowAnswer> then) {
    timing.scheduler().execute(() -> hold(question, then));
  }

  private void hold(FollowQuestion question, Consumer<FollowAnswer> then) {
    Waiting asker = new Waiting(question, timing.nanoTime(), then);
    boolean news =
        prefixes.entrySet().stream()
            .anyMatch(entry -> entry.getValue().hasNewsFor(asked(question, entry.getKey())));
    if (news || question.patience().isZero()) {
      tell(asker);
      return;
    }
    waiting.add(asker);
    Duration wait =
        question.patience().compareTo(LONGEST_WAIT) < 0 ? question.patience() : LONGEST_WAIT;
    timing.schedule(
        wait,
        () -> {
          if (waiting.remove(asker)) {
            tell(asker);
          }
        });
  }

  private void answerWaiting() {
    if (answering || waiting.isEmpty()) {
      return;
    }
    answering = true;
    timing.schedule(
        GATHERING,
        () -> {
          answering = false;
          List<Waiting> askers = List.copyOf(waiting);
          waiting.clear();
          askers.forEach(this::tell);
        });
  }

  private void tell(Waiting asker) {
    ImmutableMap.Builder<String, FollowAnswer.News> news = ImmutableMap.builder();
    prefixes.forEach(
        (name, prefix) ->
            prefix
                .newsFor(asked(asker.question(), name))
                .ifPresent(known -> news.put(name, known)));
    Duration held = Duration.ofNanos(timing.nanoTime() - asker.arrivedNanos());
    asker.then().accept(new FollowAnswer(news.buildOrThrow(), held));
  }

  private static long asked(FollowQuestion question, String prefix) {
    return question.revisions().getOrDefault(prefix, PrefixContent.UNKNOWN);
  }

  private void ask() {
    if (closed) {
      return;
    }
    Optional<Member> peer =
        needsPeers() ? order.candidates(this::isAsked).stream().findFirst() : Optional.empty();
    if (peer.isEmpty()) {
      lastAsked = null;
      timing.schedule(ASK_AGAIN, this::ask);
      return;
    }
    Duration wait = peer.get().equals(lastAsked) ? patience() : Duration.ZERO;
    lastAsked = peer.get();
    ReadMoment asked = new ReadMoment(timing.nanoTime(), timing.clock().millis());
    peers.ask(
        peer.get(),
        new FollowQuestion(revisions(), wait),
        wait.plus(ANSWER_TIME),
        answer -> timing.scheduler().execute(() -> answered(peer.get(), asked, answer)));
  }

  private Duration patience() {
    return prefixes.values().stream()
        .map(FollowedPrefix::freshness)
        .min(Comparator.naturalOrder())
        .orElse(LONGEST_WAIT)
        .dividedBy(WAITS_PER_FRESHNESS);
  }

  private ImmutableMap<String, Long> revisions() {
    ImmutableMap.Builder<String, Long> revisions = ImmutableMap.builder();
    prefixes.forEach((name, prefix) -> revisions.put(name, prefix.revision()));
    return revisions.buildOrThrow();
  }

  private boolean needsPeers() {
    return order.rank(this::isAsked) > 0
        || prefixes.values().stream().anyMatch(FollowedPrefix::isOld);
  }

  private void answered(Member peer, ReadMoment asked, Optional<FollowAnswer> answer) {
    if (answer.isEmpty()) {
      passOver(peer, PeerFault.SILENT);
      timing.scheduler().execute(this::ask);
      return;
    }
    passedOver.remove(peer);
    boolean behind = false;
    for (Map.Entry<String, FollowedPrefix> entry : prefixes.entrySet()) {
      behind |=
          take(entry.getValue(), answer.get(), answer.get().news().get(entry.getKey()), asked);
    }
    if (behind) {
      passOver(peer, PeerFault.BEHIND);
    }
    boolean heldBack = answer.get().held().compareTo(ASK_AGAIN) >= 0;
    timing.schedule(heldBack ? Duration.ZERO : ASK_AGAIN, this::ask);
  }

  /** Takes what a peer tells of one prefix; returns whether the peer is behind. */
  private static boolean take(
      FollowedPrefix prefix,
      FollowAnswer answer,
      FollowAnswer.@Nullable News news,
      ReadMoment asked) {
    if (news == null) {
      return true;
    }
    Optional<ReadMoment> proven = news.age().map(age -> answer.provenAt(asked, age));
    prefix.takeFromPeer(news.update(), proven);
    return prefix.isTooOld(proven);
  }

  private void passOver(Member peer, PeerFault fault) {
    PassedOver before = passedOver.get(peer);
    Duration length = fault == PeerFault.BEHIND ? BEHIND : FIRST_SILENCE;
    if (fault == PeerFault.SILENT && before != null && before.fault() == PeerFault.SILENT) {
      Duration doubled = before.length().multipliedBy(2);
      length = doubled.compareTo(LONGEST_SILENCE) < 0 ? doubled : LONGEST_SILENCE;
    }
    passedOver.put(peer, new PassedOver(fault, timing.nanoTime() + length.toNanos(), length));
    observer.onPassedOver(peer, fault, length);
    reportRank();
  }

  private boolean isAsked(Member member) {
    PassedOver pause = passedOver.get(member);
    return pause == null || pause.untilNanos() - timing.nanoTime() <= 0;
  }

  /** A silent process leaves its place; one that is only behind keeps it. */
  private boolean keepsItsPlace(Member member) {
    PassedOver pause = passedOver.get(member);
    return pause == null || pause.fault() != PeerFault.SILENT;
  }

  private int rank() {
    return order.rank(this::keepsItsPlace);
  }

  private void reportRank() {
    int rank = rank();
    if (rank != lastRank) {
      lastRank = rank;
      observer.onRank(rank);
    }
  }
}
