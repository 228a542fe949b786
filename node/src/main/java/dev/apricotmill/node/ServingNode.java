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
import dev.apricotmill.node.api.AnswerListener;
import dev.apricotmill.node.api.CallAnswer;
import dev.apricotmill.node.api.CallSubmission;
import dev.apricotmill.node.api.GenerationSubmission;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.call.CallEntry;
import dev.apricotmill.node.entry.GenerationEntry;
import dev.apricotmill.node.entry.OpenRequests;
import dev.apricotmill.node.entry.RequestGate;
import dev.apricotmill.node.fleet.FleetHolder;
import dev.apricotmill.node.fleet.FleetView;
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

/** The daemon as it runs: puts entry role, steward role and control duties together. */
public final class ServingNode implements Node {

  private static final System.Logger LOGGER = System.getLogger(ServingNode.class.getName());
  private static final Duration HOUSEKEEPING_PERIOD = Duration.ofSeconds(2);

  private final Timing timing;
  private final NodeSettings settings;
  private final Membership membership;
  private final FleetHolder fleet;
  private final ConfigurationReader configurations = new ConfigurationReader();
  private final ConfigurationFollower follower;
  private final MachineWatch machines;
  private final StewardService stewards;
  private final OpenRequests open;
  private final RequestGate gate;
  private final ReplicaLoads loads = new ReplicaLoads();
  private final GenerationEntry generations;
  private final CallEntry calls;
  private final LedgerEndpoint ledgerEndpoint;
  private final AtomicReference<NodeStatus.Phase> phase =
      new AtomicReference<>(NodeStatus.Phase.STARTING);
  private final CompletableFuture<NodeStatus> drained = new CompletableFuture<>();
  private volatile @Nullable Future<?> housekeeping;

  /** Creates a node that does nothing until {@link #start}. */
  public ServingNode(NodeSettings settings, NodePorts ports) {
    this.settings = settings;
    this.timing = ports.timing();
    this.membership = newMembership(settings, ports);
    this.fleet = new FleetHolder(timing, membership.view(), this::onFleetChanged);
    this.follower = newFollower(ports);
    this.machines =
        new MachineWatch(
            timing,
            ports.platform(),
            membership,
            MoreExecutors.newSequentialExecutor(timing.scheduler()),
            fleet::setLeaving);
    this.stewards =
        new StewardService(
            timing, this::selfAfterPauseCheck, fleet, ports.engines(), this::reportIfDrained);
    this.open = new OpenRequests(settings.maximumOpenRequests(), this::reportIfDrained);
    this.gate = new RequestGate(timing, fleet, open);
    NodeRoles roles =
        new NodeRoles(settings, ports, this::selfAfterPauseCheck, fleet, gate, phase::get);
    this.generations = roles.generations(stewards, loads);
    ClaimsLedger ledger =
        new ClaimsLedger(
            timing,
            ports.platform(),
            LedgerSettings.defaults(),
            ports.random(),
            this::mayBeRunning);
    this.ledgerEndpoint = new LedgerEndpoint(ledger);
    this.calls =
        roles.calls(
            new RoutedClaims(
                timing,
                ledger,
                ports.ledgers(),
                RoutedSettings.defaults(),
                membership::self,
                membership::view),
            this::mayBeRunning);
  }

  @Override
  public void start() {
    membership.start();
    machines.start();
    follower.start();
    housekeeping = timing.scheduleRepeatedly(HOUSEKEEPING_PERIOD, this::keepHouse);
  }

  @Override
  public Incarnation self() {
    return membership.self().incarnation();
  }

  @Override
  public Flow.Subscription generate(GenerationSubmission submission, AnswerListener listener) {
    return generations.generate(submission, listener);
  }

  @Override
  public CompletionStage<CallAnswer> call(CallSubmission submission) {
    return calls.call(submission);
  }

  @Override
  public Flow.Subscription accept(ForwardedRequest request, ForwardListener listener) {
    return stewards.accept(request, listener);
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
    return follower.onFetch(partName);
  }

  @Override
  public CompletionStage<Optional<byte[]>> onLedgerRequest(byte[] question) {
    return ledgerEndpoint.onRequest(question);
  }

  @Override
  public NodeStatus status() {
    FleetView view = fleet.get();
    return new NodeStatus(
        self(),
        settings.zone(),
        phase.get(),
        view.configuration().generation(),
        machines.platformReachable(),
        open.count(),
        ImmutableList.copyOf(membership.view().members().values()),
        ReplicaStatuses.inZone(settings.zone(), view, loads));
  }

  @Override
  public CompletionStage<NodeStatus> drain() {
    if (phase.getAndUpdate(ServingNode::draining).compareTo(NodeStatus.Phase.DRAINING) < 0) {
      LOGGER.log(System.Logger.Level.INFO, "node: draining, {0} requests open", open.count());
      membership.leave();
      stewards.drain();
      reportIfDrained();
    }
    return drained;
  }

  @Override
  public void close() {
    Future<?> running = housekeeping;
    if (running != null) {
      running.cancel(false);
    }
    machines.stop();
    follower.close();
    membership.close();
  }

  /** A process that was frozen takes a new incarnation before it says who it is. */
  private Incarnation selfAfterPauseCheck() {
    membership.noticePause();
    return self();
  }

  private boolean mayBeRunning(Incarnation incarnation) {
    return membership.view().mayBeRunning(incarnation);
  }

  private static NodeStatus.Phase draining(NodeStatus.Phase before) {
    return before == NodeStatus.Phase.DRAINED ? before : NodeStatus.Phase.DRAINING;
  }

  private Membership newMembership(NodeSettings settings, NodePorts ports) {
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
        ports.probes(),
        MembershipSettings.defaults(),
        new MembershipEvents(),
        this::generation);
  }

  private ConfigurationFollower newFollower(NodePorts ports) {
    return new ConfigurationFollower(
        timing,
        ports.platform(),
        ports.probes(),
        FollowerSettings.defaults(),
        ports.random(),
        membership::self,
        membership::view,
        this::onConfiguration);
  }

  private long generation() {
    ConfigurationFollower known = follower;
    return known == null ? 0 : known.generation();
  }

  private void onConfiguration(ConfigurationBundle bundle) {
    configurations.read(bundle).ifPresent(fleet::setConfiguration);
  }

  private void onFleetChanged(FleetView view) {
    stewards.onFleetChanged(view);
    becomeReady();
  }

  private void becomeReady() {
    boolean configured = fleet.get().configuration().generation() > 0;
    if (configured
        && follower.isReady()
        && phase.compareAndSet(NodeStatus.Phase.STARTING, NodeStatus.Phase.READY)) {
      LOGGER.log(System.Logger.Level.INFO, "node: ready, {0}", self());
    }
  }

  private void keepHouse() {
    becomeReady();
    fleet.refresh();
    gate.sweep();
    stewards.cleanUp(new CleanUpView(self(), membership.view()));
  }

  private void reportIfDrained() {
    if (phase.get() == NodeStatus.Phase.DRAINING
        && open.count() == 0
        && stewards.open() == 0
        && phase.compareAndSet(NodeStatus.Phase.DRAINING, NodeStatus.Phase.DRAINED)) {
      LOGGER.log(System.Logger.Level.INFO, "node: drained");
      drained.complete(status());
    }
  }

  /** Follows the membership. */
  private final class MembershipEvents implements MembershipListener {

    @Override
    public void onViewChanged(MembershipView view) {
      fleet.setMembers(view);
    }

    @Override
    public void onReplaced(Member newSelf) {
      LOGGER.log(System.Logger.Level.WARNING, "node: was replaced, now {0}", newSelf.incarnation());
      stewards.dropQueues();
    }

    @Override
    public void onPeerGeneration(PeerAddress peer, long generation) {
      follower.onPeerGeneration(peer, generation);
    }
  }
}
