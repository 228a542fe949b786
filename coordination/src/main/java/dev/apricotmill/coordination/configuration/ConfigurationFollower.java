package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.time.Timing;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps a daemon's configuration up to date without every daemon polling the platform.
 *
 * <p>In each rotation period a few daemons of each zone watch the platform. The others learn of a
 * new generation from membership probes. They fetch its head and the parts that changed from the
 * peer that reported it. A follower never replaces its configuration by one with a lower
 * generation. {@link FollowerReadiness} decides when a new daemon is ready.
 */
public final class ConfigurationFollower implements AutoCloseable {

  private static final System.Logger LOGGER =
      System.getLogger(ConfigurationFollower.class.getName());
  private static final String HEAD_PART_PREFIX = "head/";
  private static final String LATEST_HEAD_PART = HEAD_PART_PREFIX + "latest";

  private final Timing timing;
  private final PeerProbes peers;
  private final FollowerSettings settings;
  private final Supplier<Member> self;
  private final Supplier<MembershipView> view;
  private final ConfigurationListener listener;
  private final PartFetcher fetcher;
  private final HeadWatcher watcher;
  private final AtomicReference<Optional<ConfigurationBundle>> current =
      new AtomicReference<>(Optional.empty());
  private final Object lock = new Object();
  private final FollowerReadiness readiness = new FollowerReadiness();
  private long fetchingGeneration;
  private boolean queryingPeers;
  private Optional<Future<?>> tickTask = Optional.empty();

  /**
   * Creates a follower without a configuration.
   *
   * @param timing the clocks and the scheduler
   * @param platform the platform's object store
   * @param peers the client of the peers
   * @param settings intervals and limits
   * @param random the source of jitter; must be thread-safe
   * @param self supplies this daemon's own membership entry
   * @param view supplies the newest membership view
   * @param listener receives each new configuration; called under a lock, so it must not block
   */
  public ConfigurationFollower(
      Timing timing,
      Platform platform,
      PeerProbes peers,
      FollowerSettings settings,
      RandomGenerator random,
      Supplier<Member> self,
      Supplier<MembershipView> view,
      ConfigurationListener listener) {
    this.timing = timing;
    this.peers = peers;
    this.settings = settings;
    this.self = self;
    this.view = view;
    this.listener = listener;
    this.fetcher = new PartFetcher(platform, peers, settings);
    this.watcher =
        new HeadWatcher(
            timing, platform, settings, random, this::isWatcher, new PlatformObserver());
  }

  /** Reads the head from the platform and starts to watch it in rotation with other daemons. */
  public void start() {
    watcher.readAndWatch();
    synchronized (lock) {
      tickTask = Optional.of(timing.scheduleRepeatedly(settings.tickInterval(), this::tick));
    }
  }

  /** Returns the current configuration; never blocks. */
  public Optional<ConfigurationBundle> current() {
    return current.get();
  }

  /** Returns the current generation, zero if there is no configuration; never blocks. */
  public long generation() {
    return current.get().map(ConfigurationBundle::generation).orElse(0L);
  }

  /** Returns whether the configuration is recent enough to serve; once true, it stays true. */
  public boolean isReady() {
    synchronized (lock) {
      return readiness.isReady(generation());
    }
  }

  /** Fetches the generation that a peer reported if it is higher than the current one. */
  public void onPeerGeneration(PeerAddress peer, long generation) {
    if (generation <= generation() || !tryBeginFetch(generation)) {
      return;
    }
    fetchHead(peer, HEAD_PART_PREFIX + generation)
        .thenAccept(
            head -> {
              if (head.isPresent()) {
                fetchParts(head.get(), Optional.of(peer));
              } else {
                endFetch(generation);
              }
            });
  }

  /** Returns the head or a part to a peer; see {@code ProbeEndpoint.onFetch}. */
  public FetchResult onFetch(String partName) {
    Optional<ConfigurationBundle> currentBundle = current.get();
    if (!partName.startsWith(HEAD_PART_PREFIX)) {
      return fetcher
          .cachedPart(partName)
          .<FetchResult>map(part -> new FetchResult.Fetched(part.toByteArray()))
          .orElse(new FetchResult.NotFound());
    }
    return currentBundle
        .filter(
            bundle ->
                partName.equals(LATEST_HEAD_PART)
                    || partName.equals(HEAD_PART_PREFIX + bundle.generation()))
        .<FetchResult>map(bundle -> new FetchResult.Fetched(HeadCodec.encode(bundle.head())))
        .orElse(new FetchResult.NotFound());
  }

  /**
   * Stops the periodic check; a watch that is running continues until this daemon stops being a
   * watcher.
   */
  @Override
  public void close() {
    synchronized (lock) {
      tickTask.ifPresent(future -> future.cancel(false));
    }
  }

  private void tick() {
    if (!isReady() || isWatcher()) {
      watcher.readAndWatch();
    }
  }

  private boolean isWatcher() {
    return WatcherRotation.isWatcher(
        "configuration-watch",
        self.get(),
        view.get(),
        timing.clock().instant(),
        settings.rotationPeriod(),
        settings.watchersPerZone());
  }

  private CompletionStage<Optional<ConfigurationHead>> fetchHead(
      PeerAddress peer, String partName) {
    return peers
        .fetch(peer, partName, settings.fetchTimeout())
        .thenApply(
            result ->
                result instanceof FetchResult.Fetched fetched
                    ? HeadCodec.decode(fetched.value())
                    : Optional.empty());
  }

  private void fetchParts(ConfigurationHead head, Optional<PeerAddress> source) {
    fetcher
        .fetchBundle(head, source)
        .thenAccept(
            bundle -> {
              bundle.ifPresent(this::adopt);
              endFetch(head.generation());
            });
  }

  private void adopt(ConfigurationBundle bundle) {
    synchronized (lock) {
      if (bundle.generation() <= generation()) {
        return;
      }
      current.set(Optional.of(bundle));
      fetcher.retainOnly(bundle);
      LOGGER.log(
          System.Logger.Level.INFO,
          "configuration: generation {0} is now current",
          bundle.generation());
      listener.onConfiguration(bundle);
    }
  }

  /**
   * Returns false if this or a higher generation is being fetched; else marks it as in progress.
   */
  private boolean tryBeginFetch(long generation) {
    synchronized (lock) {
      if (generation <= fetchingGeneration) {
        return false;
      }
      fetchingGeneration = generation;
      return true;
    }
  }

  private void endFetch(long generation) {
    synchronized (lock) {
      if (fetchingGeneration == generation) {
        fetchingGeneration = 0;
      }
    }
  }

  /** Fetches the newest head from some peers unless such a query is already in progress. */
  private void queryPeers() {
    synchronized (lock) {
      if (queryingPeers || readiness.isReady(generation())) {
        return;
      }
      queryingPeers = true;
    }
    CompletableFuture<Void> allResponses = CompletableFuture.completedFuture(null);
    for (Member peer : peersToQuery()) {
      CompletionStage<Optional<ConfigurationHead>> response =
          fetchHead(peer.address(), LATEST_HEAD_PART);
      allResponses = allResponses.thenCombine(response, (ignored, head) -> onPeerHead(peer, head));
    }
    allResponses.thenRun(this::onPeerQueryFinished);
  }

  private Void onPeerHead(Member peer, Optional<ConfigurationHead> head) {
    head.ifPresent(
        found -> {
          synchronized (lock) {
            readiness.onPeerHead(found.generation());
          }
          if (found.generation() > generation() && tryBeginFetch(found.generation())) {
            fetchParts(found, Optional.of(peer.address()));
          }
        });
    return null;
  }

  private void onPeerQueryFinished() {
    synchronized (lock) {
      queryingPeers = false;
      readiness.onPeerQueryFinished();
    }
  }

  private ImmutableList<Member> peersToQuery() {
    Member ownMember = self.get();
    ImmutableList<Member> others =
        view.get().reachable().stream()
            .filter(
                member -> !member.incarnation().daemon().equals(ownMember.incarnation().daemon()))
            .collect(ImmutableList.toImmutableList());
    return RendezvousHash.ranked(others, "ask/" + ownMember.incarnation())
        .limit(settings.peersQueried())
        .collect(ImmutableList.toImmutableList());
  }

  /** Fetches new generations from the platform, or queries peers if it does not answer. */
  private final class PlatformObserver implements HeadWatcher.Observer {

    @Override
    public void onHead(ConfigurationHead head) {
      synchronized (lock) {
        readiness.onPlatformHead(head.generation());
      }
      if (head.generation() > generation() && tryBeginFetch(head.generation())) {
        fetchParts(head, Optional.empty());
      }
    }

    @Override
    public void onUnavailable() {
      queryPeers();
    }
  }
}
