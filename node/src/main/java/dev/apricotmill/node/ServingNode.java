package dev.apricotmill.node;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.MoreExecutors;
import dev.apricotmill.coordination.configuration.ConfigurationBundle;
import dev.apricotmill.coordination.configuration.ConfigurationFollower;
import dev.apricotmill.coordination.configuration.FollowerSettings;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.ledger.ClaimsLedger;
import dev.apricotmill.coordination.ledger.LedgerEndpoint;
import dev.apricotmill.coordination.ledger.LedgerSettings;
import dev.apricotmill.coordination.ledger.RoutedClaims;
import dev.apricotmill.coordination.ledger.RoutedSettings;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.Membership;
import dev.apricotmill.coordination.membership.MembershipListener;
import dev.apricotmill.coordination.membership.MembershipSettings;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.cleanup.CleanUpView;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.node.api.CallResponse;
import dev.apricotmill.node.api.CallSubmission;
import dev.apricotmill.node.api.GenerationResponseListener;
import dev.apricotmill.node.api.GenerationSubmission;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.call.CallEntry;
import dev.apricotmill.node.entry.GenerationEntry;
import dev.apricotmill.node.entry.OpenRequests;
import dev.apricotmill.node.entry.RequestLimiter;
import dev.apricotmill.node.fleet.FleetView;
import dev.apricotmill.node.fleet.FleetViewHolder;
import dev.apricotmill.node.fleet.ReplicaLoads;
import dev.apricotmill.node.steward.StewardService;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** The production node: wires the entry role, the steward role and the control tasks together. */
public final class ServingNode implements Node {

  private static final System.Logger LOGGER = System.getLogger(ServingNode.class.getName());
  private static final Duration HOUSEKEEPING_PERIOD = Duration.ofSeconds(2);

  private final Timing timing;
  private final NodeSettings settings;
  private final Membership membership;
  private final FleetViewHolder fleetViewHolder;
  private final ConfigurationReader configurationReader = new ConfigurationReader();
  private final ConfigurationFollower configurationFollower;
  private final MachineListWatcher machineListWatcher;
  private final StewardService stewardService;
  private final OpenRequests openRequests;
  private final RequestLimiter requestLimiter;
  private final ReplicaLoads replicaLoads = new ReplicaLoads();
  private final GenerationEntry generationEntry;
  private final CallEntry callEntry;
  private final LedgerEndpoint ledgerEndpoint;
  private final AtomicReference<NodeStatus.Phase> phase =
      new AtomicReference<>(NodeStatus.Phase.STARTING);
  private final CompletableFuture<NodeStatus> drainResult = new CompletableFuture<>();
  private volatile @Nullable Future<?> housekeeping;

  /** Creates a node that does nothing until {@link #start}. */
  public ServingNode(NodeSettings settings, NodeDependencies dependencies) {
    this.settings = settings;
    this.timing = dependencies.timing();
    this.membership = newMembership(settings, dependencies);
    this.fleetViewHolder = new FleetViewHolder(timing, membership.view(), this::onFleetChanged);
    this.configurationFollower = newFollower(dependencies);
    this.machineListWatcher =
        new MachineListWatcher(
            timing,
            dependencies.platform(),
            membership,
            MoreExecutors.newSequentialExecutor(timing.scheduler()),
            fleetViewHolder::setLeavingMachines);
    this.stewardService =
        new StewardService(
            timing,
            this::selfAfterPauseCheck,
            fleetViewHolder,
            dependencies.engines(),
            this::completeDrainIfIdle);
    this.openRequests = new OpenRequests(settings.maximumOpenRequests(), this::completeDrainIfIdle);
    this.requestLimiter = new RequestLimiter(timing, fleetViewHolder, openRequests);
    EntryFactory entryFactory =
        new EntryFactory(
            settings,
            dependencies,
            this::selfAfterPauseCheck,
            fleetViewHolder,
            requestLimiter,
            phase::get);
    this.generationEntry = entryFactory.newGenerationEntry(stewardService, replicaLoads);
    ClaimsLedger ledger =
        new ClaimsLedger(
            timing,
            dependencies.platform(),
            LedgerSettings.defaults(),
            dependencies.random(),
            this::mayBeRunning);
    this.ledgerEndpoint = new LedgerEndpoint(ledger);
    this.callEntry =
        entryFactory.newCallEntry(
            new RoutedClaims(
                timing,
                ledger,
                dependencies.ledgerPeers(),
                RoutedSettings.defaults(),
                membership::self,
                membership::view),
            this::mayBeRunning);
  }

  @Override
  public void start() {
    membership.start();
    machineListWatcher.start();
    configurationFollower.start();
    housekeeping = timing.scheduleRepeatedly(HOUSEKEEPING_PERIOD, this::runHousekeeping);
  }

  @Override
  public Incarnation self() {
    return membership.self().incarnation();
  }

  @Override
  public Flow.Subscription generate(
      GenerationSubmission submission, GenerationResponseListener listener) {
    return generationEntry.generate(submission, listener);
  }

  @Override
  public CompletionStage<CallResponse> call(CallSubmission submission) {
    return callEntry.call(submission);
  }

  @Override
  public Flow.Subscription accept(ForwardedRequest request, ForwardListener listener) {
    return stewardService.accept(request, listener);
  }

  @Override
  public ProbeMessage onProbe(ProbeMessage message) {
    return membership.onProbe(message);
  }

  @Override
  public CompletionStage<ProbeResult> onProbeThrough(Member target, ProbeMessage message) {
    return membership.onProbeThrough(target, message);
  }

  @Override
  public FetchResult onFetch(String partName) {
    return configurationFollower.onFetch(partName);
  }

  @Override
  public CompletionStage<Optional<byte[]>> onLedgerRequest(byte[] request) {
    return ledgerEndpoint.onRequest(request);
  }

  @Override
  public NodeStatus status() {
    FleetView view = fleetViewHolder.get();
    return new NodeStatus(
        self(),
        settings.zone(),
        phase.get(),
        view.configuration().generation(),
        machineListWatcher.platformReachable(),
        openRequests.count(),
        ImmutableList.copyOf(membership.view().members().values()),
        ReplicaStatuses.inZone(settings.zone(), view, replicaLoads));
  }

  @Override
  public CompletionStage<NodeStatus> drain() {
    if (phase.getAndUpdate(ServingNode::phaseAfterDrainRequest).compareTo(NodeStatus.Phase.DRAINING)
        < 0) {
      LOGGER.log(
          System.Logger.Level.INFO, "node: draining, {0} requests open", openRequests.count());
      membership.leave();
      stewardService.drain();
      completeDrainIfIdle();
    }
    return drainResult;
  }

  @Override
  public void endOpenRequests() {
    generationEntry.endOpenRequests();
    callEntry.endOpenRequests();
  }

  @Override
  public void close() {
    Future<?> scheduledHousekeeping = housekeeping;
    if (scheduledHousekeeping != null) {
      scheduledHousekeeping.cancel(false);
    }
    machineListWatcher.stop();
    configurationFollower.close();
    membership.close();
  }

  /** Returns the current incarnation; after a pause of the process, that is a new one. */
  private Incarnation selfAfterPauseCheck() {
    membership.noticePause();
    return self();
  }

  private boolean mayBeRunning(Incarnation incarnation) {
    return membership.view().mayBeRunning(incarnation);
  }

  private static NodeStatus.Phase phaseAfterDrainRequest(NodeStatus.Phase current) {
    return current == NodeStatus.Phase.DRAINED ? current : NodeStatus.Phase.DRAINING;
  }

  private Membership newMembership(NodeSettings settings, NodeDependencies dependencies) {
    long startMillis = timing.clock().instant().toEpochMilli();
    Member self =
        new Member(
            new Incarnation(settings.daemon(), startMillis),
            settings.zone(),
            settings.innerAddress(),
            MemberState.ALIVE);
    return new Membership(
        timing,
        self,
        dependencies.probePeers(),
        MembershipSettings.defaults(),
        new MembershipEvents(),
        this::currentGeneration);
  }

  private ConfigurationFollower newFollower(NodeDependencies dependencies) {
    return new ConfigurationFollower(
        timing,
        dependencies.platform(),
        dependencies.probePeers(),
        FollowerSettings.defaults(),
        dependencies.random(),
        membership::self,
        membership::view,
        this::onConfiguration);
  }

  private long currentGeneration() {
    ConfigurationFollower currentFollower = configurationFollower;
    return currentFollower == null ? 0 : currentFollower.generation();
  }

  private void onConfiguration(ConfigurationBundle bundle) {
    configurationReader.read(bundle).ifPresent(fleetViewHolder::setConfiguration);
  }

  private void onFleetChanged(FleetView view) {
    stewardService.onFleetChanged(view);
    becomeReadyIfConfigured();
  }

  private void becomeReadyIfConfigured() {
    boolean configured = fleetViewHolder.get().configuration().generation() > 0;
    if (configured
        && configurationFollower.isReady()
        && phase.compareAndSet(NodeStatus.Phase.STARTING, NodeStatus.Phase.READY)) {
      LOGGER.log(System.Logger.Level.INFO, "node: ready, {0}", self());
    }
  }

  private void runHousekeeping() {
    becomeReadyIfConfigured();
    fleetViewHolder.applyPlannedStops();
    requestLimiter.removeIdleCustomers();
    stewardService.cleanUp(new CleanUpView(self(), membership.view()));
  }

  private void completeDrainIfIdle() {
    if (phase.get() == NodeStatus.Phase.DRAINING
        && openRequests.count() == 0
        && stewardService.openRequestCount() == 0
        && phase.compareAndSet(NodeStatus.Phase.DRAINING, NodeStatus.Phase.DRAINED)) {
      LOGGER.log(System.Logger.Level.INFO, "node: drained");
      drainResult.complete(status());
    }
  }

  /** Passes membership changes on to the roles that depend on them. */
  private final class MembershipEvents implements MembershipListener {

    @Override
    public void onViewChanged(MembershipView view) {
      fleetViewHolder.setMembers(view);
    }

    @Override
    public void onReplaced(Member newSelf) {
      LOGGER.log(
          System.Logger.Level.WARNING,
          "node: was replaced, now {0}; requests queued for dispatch are refused",
          newSelf.incarnation());
      stewardService.refuseQueued();
    }

    @Override
    public void onPeerGeneration(PeerAddress peer, long generation) {
      configurationFollower.onPeerGeneration(peer, generation);
    }
  }
}
