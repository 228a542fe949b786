package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.time.Timing;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/**
 * Detects which daemons are alive by probing a few of them and gossiping the results.
 *
 * <p>A daemon that answers neither direct nor indirect probes is suspected. A daemon of its own
 * zone declares it dead when the suspicion times out. A dead incarnation never becomes alive again:
 * a daemon that resumes after a pause, or learns that it was declared dead, takes a higher
 * incarnation and calls {@link MembershipListener#onReplaced}. The daemons of an unreachable zone
 * are only suspected, since they still serve that zone.
 *
 * <p>The view may be wrong or outdated and serves only as a hint. Whatever must happen at most once
 * needs a conditional write to the platform.
 */
public final class Membership implements AutoCloseable {

  private static final System.Logger LOGGER = System.getLogger(Membership.class.getName());

  private final Timing timing;
  private final PeerProbes probes;
  private final MembershipSettings settings;
  private final MembershipListener listener;
  private final PauseDetector pauses;
  private final AtomicReference<MembershipView> view;
  private final AtomicReference<Member> currentSelf;
  private final Object lock = new Object();

  @GuardedBy("lock")
  private final MemberTable table;

  @GuardedBy("lock")
  private final ProbeComposer composer;

  @GuardedBy("lock")
  private final ProbeSchedule schedule;

  @GuardedBy("lock")
  private final SeedList seeds = new SeedList();

  @GuardedBy("lock")
  private Optional<Future<?>> probeTask = Optional.empty();

  /**
   * Creates a membership that knows only its own daemon.
   *
   * @param timing the clocks, and the scheduler that sends the probes
   * @param self the initial state of this daemon
   * @param probes the client interface to the peers
   * @param settings the intervals and limits
   * @param listener receives changes; called while a lock is held, so it must not block
   * @param configurationGeneration returns the generation of this daemon's configuration, zero if
   *     it has none
   */
  public Membership(
      Timing timing,
      Member self,
      PeerProbes probes,
      MembershipSettings settings,
      MembershipListener listener,
      LongSupplier configurationGeneration) {
    this.timing = timing;
    this.probes = probes;
    this.settings = settings;
    this.listener = listener;
    this.pauses = new PauseDetector(settings.pauseThreshold(), timing.nanoTime());
    this.table = new MemberTable(self);
    this.composer = new ProbeComposer(table, settings, configurationGeneration);
    this.schedule = new ProbeSchedule(settings);
    this.view = new AtomicReference<>(table.view());
    this.currentSelf = new AtomicReference<>(self);
  }

  /** Starts probing. */
  public void start() {
    synchronized (lock) {
      pauses.recordTick(timing.nanoTime());
      probeTask = Optional.of(timing.scheduleRepeatedly(settings.probeInterval(), this::tick));
    }
  }

  /** Sets the platform's list of VMs: addresses of daemons, and which VMs are leaving. */
  public void updateMachines(ImmutableList<Machine> machines) {
    synchronized (lock) {
      seeds.set(machines);
      table.setLeavingNames(seeds.leavingNames());
      publishView();
    }
  }

  /** Returns the newest view; never blocks. */
  public MembershipView view() {
    return view.get();
  }

  /** Returns the state of this daemon with its current incarnation; never blocks. */
  public Member self() {
    return currentSelf.get();
  }

  /** Tells the peers that this daemon accepts no new work. */
  public void leave() {
    synchronized (lock) {
      table.setSelf(table.self().withState(MemberState.LEAVING));
      LOGGER.log(System.Logger.Level.INFO, "membership: leaving as {0}", table.self());
      composer.enqueue(table.self());
      publishView();
    }
  }

  /** Gossips a small value along with the probes. */
  public void publish(ProbePayload payload) {
    synchronized (lock) {
      composer.offer(payload);
    }
  }

  /** Returns the newest payloads whose names begin with {@code prefix}, ordered by name. */
  public ImmutableList<ProbePayload> payloads(String prefix) {
    synchronized (lock) {
      return composer.payloads(prefix);
    }
  }

  /**
   * Takes a higher incarnation if this process was paused since the last tick, and returns whether
   * it did. Call this right before queued work is dispatched. Without a pause it costs one volatile
   * read.
   */
  public boolean noticePause() {
    if (!pauses.wasPaused(timing.nanoTime())) {
      return false;
    }
    synchronized (lock) {
      return noticePauseLocked();
    }
  }

  /** Handles a probe; see {@link ProbeEndpoint#onProbe}. */
  public ProbeMessage onProbe(ProbeMessage message) {
    synchronized (lock) {
      noticePauseLocked();
      ImmutableList<Member> corrections = mergeMessage(message);
      return composer.compose(Optional.of(message.sender().incarnation().daemon()), corrections);
    }
  }

  /** Probes {@code target} on behalf of a peer; see {@link ProbeEndpoint#onProbeThrough}. */
  public CompletionStage<ProbeResult> onProbeThrough(Member target, ProbeMessage message) {
    synchronized (lock) {
      noticePauseLocked();
      mergeMessage(message);
    }
    return probes.probe(target.address(), message, settings.probeTimeout());
  }

  /** Stops probing. */
  @Override
  public void close() {
    synchronized (lock) {
      probeTask.ifPresent(future -> future.cancel(false));
    }
  }

  private void tick() {
    ImmutableList<Member> targets;
    ImmutableSet<PeerAddress> addresses;
    synchronized (lock) {
      noticePauseLocked();
      long now = timing.nanoTime();
      pauses.recordTick(now);
      expire(now);
      targets = schedule.next(view.get(), table.self(), table.suspects());
      addresses = seeds.next(view.get(), table.self());
    }
    targets.forEach(this::probe);
    addresses.forEach(this::probeSeed);
  }

  @GuardedBy("lock")
  private void expire(long now) {
    ImmutableList<Member> dead =
        ImmutableList.<Member>builder()
            .addAll(table.expireSuspects(now, settings.suspicionTimeout().toNanos()))
            .addAll(table.expireUnlisted(seeds.names(), now, settings.deadRetention().toNanos()))
            .build();
    for (Member member : dead) {
      LOGGER.log(System.Logger.Level.INFO, "membership: declares dead {0}", member.incarnation());
      composer.enqueue(member);
    }
    boolean forgotten = table.forgetDead(now, settings.deadRetention().toNanos());
    if (forgotten || !dead.isEmpty()) {
      publishView();
    }
  }

  private void probe(Member target) {
    ProbeMessage message;
    Member sender;
    synchronized (lock) {
      message = composer.compose(Optional.of(target.incarnation().daemon()), ImmutableList.of());
      sender = table.self();
    }
    probes
        .probe(target.address(), message, settings.probeTimeout())
        .thenAccept(result -> onResult(sender, target, message, result));
  }

  private void probeSeed(PeerAddress address) {
    ProbeMessage message;
    synchronized (lock) {
      Optional<DaemonId> receiver =
          table.members().stream()
              .filter(member -> member.address().equals(address))
              .map(member -> member.incarnation().daemon())
              .findFirst();
      message = composer.compose(receiver, ImmutableList.of());
    }
    probes.probe(address, message, settings.probeTimeout()).thenAccept(this::mergeReply);
  }

  private void onResult(Member sender, Member target, ProbeMessage message, ProbeResult result) {
    if (result instanceof ProbeResult.Answered) {
      mergeReply(result);
      return;
    }
    ImmutableList<Member> probers;
    synchronized (lock) {
      if (incarnationChangedSince(sender)) {
        return;
      }
      probers = schedule.indirectProbers(view.get(), table.self(), target);
    }
    probeIndirectly(probers, target, message)
        .thenAccept(answered -> onIndirectResult(sender, target, answered));
  }

  private CompletableFuture<Boolean> probeIndirectly(
      ImmutableList<Member> probers, Member target, ProbeMessage message) {
    CompletableFuture<Boolean> answered = CompletableFuture.completedFuture(false);
    for (Member prober : probers) {
      CompletionStage<ProbeResult> stage =
          probes.probeThrough(
              prober.address(), target, message, settings.probeTimeout().multipliedBy(2));
      answered =
          answered.thenCombine(
              stage,
              (before, result) -> {
                mergeReply(result);
                return before || result instanceof ProbeResult.Answered;
              });
    }
    return answered;
  }

  private void onIndirectResult(Member sender, Member target, boolean answered) {
    synchronized (lock) {
      if (answered || incarnationChangedSince(sender)) {
        return;
      }
      table.suspect(target.incarnation(), timing.nanoTime());
      publishView();
    }
  }

  /** A probe that this process sent before it was paused says nothing about the peer. */
  @GuardedBy("lock")
  private boolean incarnationChangedSince(Member sender) {
    noticePauseLocked();
    return !sender.incarnation().equals(table.self().incarnation());
  }

  private void mergeReply(ProbeResult result) {
    if (result instanceof ProbeResult.Answered answered) {
      synchronized (lock) {
        noticePauseLocked();
        mergeMessage(answered.reply());
      }
    }
  }

  /** Merges a message; returns the known states that are newer than those in the message. */
  @GuardedBy("lock")
  private ImmutableList<Member> mergeMessage(ProbeMessage message) {
    ImmutableList.Builder<Member> corrections = ImmutableList.builder();
    if (table.isDeadOrReplaced(message.sender().incarnation()) && table.isIsolated()) {
      rejoinAbove(table.self().incarnation().number());
    }
    boolean senderIsDeadOrReplaced = table.isDeadOrReplaced(message.sender().incarnation());
    for (Member update : message.updates()) {
      if (isOwnDaemon(update)) {
        merge(update);
      }
    }
    if (!senderIsDeadOrReplaced) {
      merge(message.sender());
      table.clearSuspicion(message.sender().incarnation());
      for (Member update : message.updates()) {
        if (!isOwnDaemon(update) && merge(update) == MemberTable.Merge.OUTDATED) {
          table.find(update.incarnation().daemon()).ifPresent(corrections::add);
        }
      }
    }
    message.payloads().forEach(composer::offer);
    publishView();
    if (!isOwnDaemon(message.sender())) {
      listener.onPeerGeneration(message.sender().address(), message.configurationGeneration());
    }
    return corrections.build();
  }

  @GuardedBy("lock")
  private MemberTable.Merge merge(Member update) {
    MemberTable.Merge merge = table.merge(update, timing.nanoTime());
    if (merge == MemberTable.Merge.NEWER) {
      table.find(update.incarnation().daemon()).ifPresent(composer::enqueue);
    } else if (merge == MemberTable.Merge.REPLACES_SELF) {
      rejoinAbove(update.incarnation().number());
    }
    return merge;
  }

  @GuardedBy("lock")
  private boolean noticePauseLocked() {
    long now = timing.nanoTime();
    if (!pauses.wasPaused(now)) {
      return false;
    }
    pauses.recordTick(now);
    rejoinAbove(table.self().incarnation().number());
    return true;
  }

  @GuardedBy("lock")
  private void rejoinAbove(long number) {
    table.rejoinAbove(number);
    composer.clearMemberQueue();
    LOGGER.log(System.Logger.Level.WARNING, "membership: rejoins as {0}", table.self());
    composer.enqueue(table.self());
    currentSelf.set(table.self());
    listener.onReplaced(table.self());
    publishView();
  }

  @GuardedBy("lock")
  private boolean isOwnDaemon(Member member) {
    return member.incarnation().daemon().equals(table.self().incarnation().daemon());
  }

  @GuardedBy("lock")
  private void publishView() {
    currentSelf.set(table.self());
    MembershipView next = table.view();
    if (!next.equals(view.get())) {
      view.set(next);
      listener.onViewChanged(next);
    }
  }
}
