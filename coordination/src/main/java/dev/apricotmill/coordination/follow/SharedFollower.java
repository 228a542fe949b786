package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.StorePosition;
import dev.apricotmill.coordination.time.ResponseLimits;
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
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Follows objects of the store together with the other processes of a zone.
 *
 * <p>{@link FollowRanking} decides which process reads the store. The others poll a peer, whose
 * response carries the changes and how long ago the content was validated as the newest. Only the
 * age of this validation counts, not the number of hops: a process whose content becomes stale
 * polls another peer and then reads the store itself. Runs on the scheduler of {@link Timing},
 * which must have one thread.
 */
public final class SharedFollower implements AutoCloseable {

  /**
   * A peer holds a poll for at most the smallest maximum staleness divided by this, which bounds
   * how late an unresponsive peer is detected.
   */
  private static final int POLLS_PER_MAX_STALENESS = 5;

  /**
   * Covers a round trip and scheduling delays in a busy process: in addition to the wait until a
   * response begins, and then between its parts, since a large one may take long over a slow link.
   */
  private static final Duration RESPONSE_ALLOWANCE = Duration.ofMillis(300);

  /** The maximum time that a poll is held, whatever the peer requests. */
  private static final Duration MAX_POLL_WAIT = Duration.ofSeconds(2);

  /** Updates of several prefixes within this time are sent in one response. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(30);

  /** The delay before the next poll if no peer is available or the peer did not hold the poll. */
  private static final Duration REPOLL_DELAY = Duration.ofMillis(100);

  private static final Duration INITIAL_NO_ANSWER_BACKOFF = Duration.ofSeconds(1);
  private static final Duration MAX_NO_ANSWER_BACKOFF = Duration.ofSeconds(8);
  private static final Duration STALE_PEER_BACKOFF = Duration.ofSeconds(1);

  private final Platform platform;
  private final Timing timing;
  private final RandomGenerator random;
  private final Member self;
  private final FollowPeers peers;
  private final FollowObserver observer;
  private final Map<String, FollowedPrefix> prefixes = new LinkedHashMap<>();
  private final Map<Member, PeerBackoff> backoffs = new HashMap<>();
  private final Set<PendingPoll> pendingPolls = new LinkedHashSet<>();
  private FollowRanking ranking;
  private @Nullable Member lastPolled;
  private int lastRank = -1;
  private boolean responseScheduled;
  private boolean closed;

  /** Creates a follower without peers or prefixes. */
  public SharedFollower(
      Platform platform,
      Timing timing,
      RandomGenerator random,
      Member self,
      FollowPeers peers,
      FollowObserver observer) {
    this.platform = platform;
    this.timing = timing;
    this.random = random;
    this.self = self;
    this.peers = peers;
    this.observer = observer;
    ranking = FollowRanking.of(List.of(), self);
  }

  /**
   * Why and until when a peer is not polled.
   *
   * @param fault why the peer is not polled
   * @param untilNanos the monotonic time after which it is polled again
   * @param length the length of the back-off
   */
  private record PeerBackoff(PeerFault fault, long untilNanos, Duration length) {

    /** Returns this back-off, ended if the peer was only behind. */
    PeerBackoff endedIfBehind(long nowNanos) {
      return fault == PeerFault.BEHIND ? new PeerBackoff(fault, nowNanos, length) : this;
    }
  }

  /** A poll that waits for an update. */
  private record PendingPoll(
      FollowRequest request, long arrivedNanos, Consumer<FollowResponse> callback) {}

  /** Starts to follow a prefix. */
  public void follow(String prefix, FollowSettings settings, FollowListener listener) {
    FollowedPrefix followed =
        new FollowedPrefix(
            platform,
            timing,
            random,
            prefix,
            settings,
            listener,
            this::rank,
            this::scheduleResponses);
    timing
        .scheduler()
        .execute(
            () -> {
              prefixes.put(prefix, followed);
              followed.start();
            });
  }

  /** Starts to poll peers. */
  public void start() {
    timing.scheduler().execute(this::pollPeer);
  }

  /** Sets the processes that may be alive. */
  public void updateMembers(Collection<Member> members) {
    ranking = FollowRanking.of(members, self);
    backoffs.keySet().retainAll(members);
    reportRank();
  }

  @Override
  public void close() {
    closed = true;
    prefixes.values().forEach(FollowedPrefix::close);
  }

  /**
   * Handles a poll from a peer: responds at once if there is an update, otherwise when one comes or
   * the wait ends. Thread-safe.
   */
  public void onPoll(FollowRequest request, Consumer<FollowResponse> callback) {
    timing.scheduler().execute(() -> handlePoll(request, callback));
  }

  private void handlePoll(FollowRequest request, Consumer<FollowResponse> callback) {
    PendingPoll poll = new PendingPoll(request, timing.nanoTime(), callback);
    boolean hasUpdate =
        prefixes.entrySet().stream()
            .anyMatch(
                entry -> entry.getValue().hasUpdateFor(requestedPosition(request, entry.getKey())));
    if (hasUpdate || request.maxWait().isZero()) {
      respond(poll);
      return;
    }
    pendingPolls.add(poll);
    Duration wait =
        request.maxWait().compareTo(MAX_POLL_WAIT) < 0 ? request.maxWait() : MAX_POLL_WAIT;
    timing.schedule(
        wait,
        () -> {
          if (pendingPolls.remove(poll)) {
            respond(poll);
          }
        });
  }

  private void scheduleResponses() {
    if (responseScheduled || pendingPolls.isEmpty()) {
      return;
    }
    responseScheduled = true;
    timing.schedule(
        BATCH_DELAY,
        () -> {
          responseScheduled = false;
          List<PendingPoll> polls = List.copyOf(pendingPolls);
          pendingPolls.clear();
          polls.forEach(this::respond);
        });
  }

  private void respond(PendingPoll poll) {
    ImmutableMap.Builder<String, FollowResponse.PrefixState> states = ImmutableMap.builder();
    prefixes.forEach(
        (name, prefix) ->
            prefix
                .stateFor(requestedPosition(poll.request(), name))
                .ifPresent(state -> states.put(name, state)));
    Duration holdTime = Duration.ofNanos(timing.nanoTime() - poll.arrivedNanos());
    poll.callback().accept(new FollowResponse(states.buildOrThrow(), holdTime));
  }

  private static StorePosition requestedPosition(FollowRequest request, String prefix) {
    return request.positions().getOrDefault(prefix, StorePosition.UNKNOWN);
  }

  private void pollPeer() {
    if (closed) {
      return;
    }
    Optional<Member> peer =
        needsPeers()
            ? ranking.candidates(this::isAvailable).stream().findFirst()
            : Optional.empty();
    if (peer.isEmpty()) {
      lastPolled = null;
      // When all peers were behind, the first one to catch up must not be missed.
      backoffs.replaceAll((member, backoff) -> backoff.endedIfBehind(timing.nanoTime()));
      timing.schedule(REPOLL_DELAY, this::pollPeer);
      return;
    }
    Duration wait = peer.get().equals(lastPolled) ? pollWait() : Duration.ZERO;
    lastPolled = peer.get();
    ReadTimestamp sentAt = new ReadTimestamp(timing.nanoTime(), timing.clock().millis());
    peers.poll(
        peer.get(),
        new FollowRequest(positions(), wait),
        new ResponseLimits(
            wait.plus(RESPONSE_ALLOWANCE), RESPONSE_ALLOWANCE, wait.plus(minMaxStaleness())),
        result -> timing.scheduler().execute(() -> onResult(peer.get(), sentAt, result)));
  }

  private Duration pollWait() {
    return minMaxStaleness().dividedBy(POLLS_PER_MAX_STALENESS);
  }

  private Duration minMaxStaleness() {
    return prefixes.values().stream()
        .map(FollowedPrefix::maxStaleness)
        .min(Comparator.naturalOrder())
        .orElse(MAX_POLL_WAIT);
  }

  private ImmutableMap<String, StorePosition> positions() {
    ImmutableMap.Builder<String, StorePosition> positions = ImmutableMap.builder();
    prefixes.forEach((name, prefix) -> positions.put(name, prefix.position()));
    return positions.buildOrThrow();
  }

  private boolean needsPeers() {
    return ranking.rank(this::isAvailable) > 0
        || prefixes.values().stream().anyMatch(FollowedPrefix::needsPeers);
  }

  private void onResult(Member peer, ReadTimestamp sentAt, PollResult result) {
    Optional<FollowResponse> response = result.response();
    if (response.isEmpty()) {
      PeerFault fault = result.receivedBytes() == 0 ? PeerFault.SILENT : PeerFault.INCOMPLETE;
      backOff(peer, fault, result.receivedBytes());
      timing.scheduler().execute(this::pollPeer);
      return;
    }
    boolean stale = false;
    for (Map.Entry<String, FollowedPrefix> entry : prefixes.entrySet()) {
      stale |=
          apply(
              entry.getValue(),
              response.get(),
              response.get().prefixes().get(entry.getKey()),
              sentAt);
    }
    if (stale) {
      backOff(peer, PeerFault.BEHIND, 0);
    } else {
      backoffs.remove(peer);
    }
    boolean wasHeld = response.get().holdTime().compareTo(REPOLL_DELAY) >= 0;
    timing.schedule(wasHeld ? Duration.ZERO : REPOLL_DELAY, this::pollPeer);
  }

  /** Applies a peer's state of one prefix; returns whether that state is missing or too stale. */
  private static boolean apply(
      FollowedPrefix prefix,
      FollowResponse response,
      FollowResponse.@Nullable PrefixState state,
      ReadTimestamp sentAt) {
    if (state == null) {
      return true;
    }
    Optional<ReadTimestamp> peerValidatedAt =
        state.age().map(age -> response.validatedAt(sentAt, age));
    prefix.applyFromPeer(state.update(), peerValidatedAt);
    return state.update().position().era() < prefix.position().era()
        || prefix.isBehind(peerValidatedAt);
  }

  private void backOff(Member peer, PeerFault fault, long receivedBytes) {
    PeerBackoff previous = backoffs.get(peer);
    Duration length = fault == PeerFault.BEHIND ? STALE_PEER_BACKOFF : INITIAL_NO_ANSWER_BACKOFF;
    if (fault != PeerFault.BEHIND && previous != null && previous.fault() != PeerFault.BEHIND) {
      Duration doubled = previous.length().multipliedBy(2);
      length = doubled.compareTo(MAX_NO_ANSWER_BACKOFF) < 0 ? doubled : MAX_NO_ANSWER_BACKOFF;
    }
    backoffs.put(peer, new PeerBackoff(fault, timing.nanoTime() + length.toNanos(), length));
    if (fault != PeerFault.BEHIND || previous == null || previous.fault() != PeerFault.BEHIND) {
      observer.onPeerBackoff(peer, fault, receivedBytes, length);
    }
    reportRank();
  }

  private boolean isAvailable(Member member) {
    PeerBackoff backoff = backoffs.get(member);
    return backoff == null || backoff.untilNanos() - timing.nanoTime() <= 0;
  }

  /** A peer whose response does not arrive loses its rank; one that is only behind keeps it. */
  private boolean keepsRank(Member member) {
    PeerBackoff backoff = backoffs.get(member);
    return backoff == null || backoff.fault() == PeerFault.BEHIND;
  }

  private int rank() {
    return ranking.rank(this::keepsRank);
  }

  private void reportRank() {
    int rank = rank();
    if (rank != lastRank) {
      lastRank = rank;
      observer.onRankChanged(rank);
    }
  }
}
