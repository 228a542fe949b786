package dev.apricotmill.benchmarks.policy;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.benchmarks.fleet.EngineSequence;
import dev.apricotmill.benchmarks.fleet.Replicas;
import dev.apricotmill.benchmarks.measure.Ending;
import dev.apricotmill.benchmarks.workload.Arrival;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.core.group.GroupDecision;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.retry.RetryDecision;
import dev.apricotmill.core.routing.ReplicaView;
import dev.apricotmill.core.routing.RoutingDecision;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One request on its way from its entry daemon through stewards to its end. */
final class Journey {

  private static final ServiceName SERVICE = new ServiceName("model");
  private static final long UNLIMITED_NANOS = TimeUnit.HOURS.toNanos(10);

  private final FleetPolicy policy;
  private final Arrival arrival;
  private final int daemon;
  private final EntryModel entry;
  private final GenerationRequest request;
  private final Set<ReplicaId> tried = new HashSet<>();
  private Optional<GroupJourney> group = Optional.empty();
  private int attempts;
  private int current = -1;

  Journey(FleetPolicy policy, Arrival arrival, int daemon) {
    this.policy = policy;
    this.arrival = arrival;
    this.daemon = daemon;
    this.entry = policy.entry(daemon);
    this.request = request();
  }

  Arrival arrival() {
    return arrival;
  }

  int daemon() {
    return daemon;
  }

  GenerationRequest request() {
    long limit =
        policy.isDisabled(Mechanism.ADMISSION) ? UNLIMITED_NANOS : arrival.timeLimitNanos();
    boolean affine = arrival.prefix() != null && !policy.isDisabled(Mechanism.PREFIX_AFFINITY);
    String customer =
        policy.isDisabled(Mechanism.FAIRNESS) ? "all" : "customer-" + arrival.customer();
    return new GenerationRequest(
        new RequestId("request-" + arrival.number()),
        new CustomerId(customer),
        SERVICE,
        "",
        entry.estimator().estimate(SERVICE, arrival.promptBytes()).tokens(),
        arrival.maximumOutputTokens(),
        Priority.NORMAL,
        1,
        affine ? new PrefixFingerprint(arrival.prefix().hash()) : PrefixFingerprint.NONE,
        true,
        new Deadline(arrival.atNanos() + limit));
  }

  /** Makes the first attempt and sets the end of the request's time. */
  void start() {
    entry.budget().onRequest();
    policy
        .loop()
        .at(
            arrival.atNanos() + arrival.timeLimitNanos(),
            () -> {
              if (!policy.recorder().hasEnded(arrival)) {
                dropAtStewards();
                policy.end(this, Ending.MISSED);
              }
            });
    attempt();
  }

  /** Cancels the request wherever it waits or runs. */
  void dropAtStewards() {
    if (current >= 0) {
      policy.steward(current).cancel(request.id());
      current = -1;
    }
    group.ifPresent(GroupJourney::cancel);
    group = Optional.empty();
  }

  /** Tries again after an attempt that did not run, or was idempotent. */
  void retryOr(Ending ending, Outcome outcome, ReplicaId failed) {
    current = -1;
    group = Optional.empty();
    tried.add(failed);
    long now = policy.loop().nowNanos();
    boolean retry =
        !policy.isDisabled(Mechanism.RETRY)
            && !policy.recorder().hasEnded(arrival)
            && RetryDecision.of(outcome, request, attempts, entry.budget(), now)
                == RetryDecision.RETRY;
    if (retry) {
      attempt();
    } else {
      policy.end(this, ending);
    }
  }

  private void attempt() {
    attempts++;
    long now = policy.loop().nowNanos();
    ImmutableList<ReplicaView> views =
        entry.views(replica -> policy.reachable(daemon, replica), now);
    if (!policy.isDisabled(Mechanism.GROUPS) && entry.planner().needsGroup(request)) {
      attemptGroup(views, now);
      return;
    }
    RoutingDecision decision = entry.router().choose(request, views, tried, entry.random(), now);
    if (decision instanceof RoutingDecision.Forward forward) {
      current = policy.number(forward.target().replica());
      int target = current;
      policy
          .loop()
          .after(
              policy.hopNanos(daemon, target),
              () -> {
                if (current == target) {
                  policy.steward(target).accept(request, new Client(target));
                }
              });
    } else {
      policy.end(this, Ending.REFUSED);
    }
  }

  private void attemptGroup(ImmutableList<ReplicaView> views, long now) {
    GroupDecision decision =
        entry
            .planner()
            .plan(
                request, views, tried, view -> entry.router().waitSeconds(request, view, now), now);
    if (decision instanceof GroupDecision.Members members) {
      GroupJourney started = new GroupJourney(policy, this, request, members.members());
      group = Optional.of(started);
      policy.recorder().admitted(arrival);
      started.start();
    } else {
      policy.end(this, Ending.REFUSED);
    }
  }

  /** What the steward of one replica tells the entry daemon, one hop later. */
  private final class Client implements StewardClient {
    private final int replica;

    Client(int replica) {
      this.replica = replica;
    }

    @Override
    public int daemon() {
      return daemon;
    }

    @Override
    public EngineSequence sequence(String id, int priority, EngineSequence.Listener listener) {
      return new EngineSequence(
          id,
          arrival.promptTokens(),
          arrival.promptTokens() + arrival.maximumOutputTokens(),
          arrival.outputTokens(),
          priority,
          arrival.prefix(),
          listener);
    }

    @Override
    public void onAdmitted() {
      policy.recorder().admitted(arrival);
    }

    @Override
    public void onHeld() {}

    @Override
    public void onRefused(RefusalReason reason, Duration retryAfter) {
      back(
          () -> {
            if (reason == RefusalReason.REFUSED_BY_BACKEND) {
              entry.health().onFailure(Replicas.id(replica), policy.loop().nowNanos());
            }
            Outcome refused = new Outcome.Refused(reason, retryAfter);
            retryOr(Ending.REFUSED, refused, Replicas.id(replica));
          });
    }

    @Override
    public void onFirstToken(long promptTokens) {
      back(
          () -> {
            policy.recorder().firstToken(arrival, policy.loop().nowNanos());
            entry.estimator().observe(SERVICE, arrival.promptBytes(), promptTokens);
          });
    }

    @Override
    public void onFinished() {
      back(
          () -> {
            current = -1;
            entry.health().onSuccess(Replicas.id(replica));
            policy.end(Journey.this, Ending.ANSWERED);
          });
    }

    @Override
    public void onBroken() {
      back(
          () -> {
            entry.health().onFailure(Replicas.id(replica), policy.loop().nowNanos());
            Outcome broken = new Outcome.Failed(FailureReason.STREAM_BROKEN);
            retryOr(Ending.BROKEN, broken, Replicas.id(replica));
          });
    }

    @Override
    public void onLost() {
      back(
          () -> {
            Outcome unknown = new Outcome.Unknown(UnknownReason.STEWARD_SILENT);
            retryOr(Ending.BROKEN, unknown, Replicas.id(replica));
          });
    }

    private void back(Runnable action) {
      policy.heard(daemon, replica);
      policy
          .loop()
          .after(
              policy.hopNanos(daemon, replica),
              () -> {
                if (current == replica && entry.isAlive()) {
                  action.run();
                }
              });
    }
  }
}
