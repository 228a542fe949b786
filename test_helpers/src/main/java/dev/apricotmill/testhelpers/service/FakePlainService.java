package dev.apricotmill.testhelpers.service;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.core.service.PlainService;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.fault.FaultSwitch;
import dev.apricotmill.testhelpers.peers.Link;
import dev.apricotmill.testhelpers.peers.PendingReply;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;

/**
 * All replicas of a plain service in the test's own process, with one log. Clients see it through
 * {@link #portFor}, which delivers on the client's scheduler.
 *
 * <p>Not safe for use by several threads: everything runs on one virtual timeline.
 */
public final class FakePlainService implements PlainService {

  private static final Duration DEFAULT_LATENCY = Duration.ofNanos(500_000);
  private static final Duration DEFAULT_SERVICE_TIME = Duration.ofMillis(5);
  private static final Duration DEFAULT_LATENESS = Duration.ofSeconds(2);

  private final Timing timing;
  private final ServiceCore core;
  private final FaultSwitch<ServiceOperation> faults = new FaultSwitch<>(ServiceOperation.class);
  private final Map<ReplicaId, Link> links = new HashMap<>();
  private Duration latency = DEFAULT_LATENCY;
  private Duration serviceTime = DEFAULT_SERVICE_TIME;
  private Duration lateness = DEFAULT_LATENESS;

  /** Creates a service whose replicas run on {@code timing}. */
  public FakePlainService(Timing timing) {
    this.timing = timing;
    this.core = new ServiceCore(timing);
  }

  /** Returns the port as a client with its own scheduler sees it. */
  public PlainService portFor(Timing client) {
    return (replica, call, timeout) -> callFrom(client, replica, call, timeout);
  }

  /** Returns the model of the service, with its log. */
  public ServiceCore core() {
    return core;
  }

  /** Returns the switch for faults of single calls. */
  public FaultSwitch<ServiceOperation> faults() {
    return faults;
  }

  /** Sets the state of the way to a replica. */
  public void setLink(ReplicaId replica, Link link) {
    links.put(replica, link);
  }

  /** Sets the time of a message in one direction. */
  public void setLatency(Duration newLatency) {
    latency = newLatency;
  }

  /** Sets the time from the arrival of a call to its effect. */
  public void setServiceTime(Duration newServiceTime) {
    serviceTime = newServiceTime;
  }

  /** Sets how much later a late answer comes. */
  public void setLateness(Duration newLateness) {
    lateness = newLateness;
  }

  @Override
  public CompletionStage<CallResult> call(Replica replica, ServiceCall call, Duration timeout) {
    return callFrom(timing, replica, call, timeout);
  }

  private CompletionStage<CallResult> callFrom(
      Timing client, Replica replica, ServiceCall call, Duration timeout) {
    PendingReply<CallResult> reply = new PendingReply<>(client, timeout, new CallResult.Lost());
    timing.schedule(latency, () -> arrive(replica.id(), call, reply));
    return reply.stage();
  }

  private void arrive(ReplicaId replica, ServiceCall call, PendingReply<CallResult> reply) {
    Link link = links.getOrDefault(replica, Link.UP);
    if (link == Link.SILENT) {
      return;
    }
    Fault fault = faults.take(ServiceOperation.ofMethod(call.method()));
    if (link == Link.REFUSING || fault == Fault.REFUSED) {
      reply.reply(new CallResult.NotSent(), latency);
      return;
    }
    if (fault == Fault.ERROR) {
      reply.reply(
          new CallResult.Response(500, ImmutableMap.of(), "error".getBytes(UTF_8)), latency);
      return;
    }
    if (fault != Fault.LOST_BEFORE_EFFECT) {
      timing.schedule(serviceTime, () -> execute(replica, call, fault, reply));
    }
  }

  private void execute(
      ReplicaId replica, ServiceCall call, Fault fault, PendingReply<CallResult> reply) {
    CallResult.Response response =
        core.execute(
            replica.value(), call.id().value(), call.method(), call.path(), call.headers());
    boolean silent = links.getOrDefault(replica, Link.UP) == Link.SILENT;
    if (silent || fault == Fault.LOST_AFTER_EFFECT || fault == Fault.FROZEN) {
      return;
    }
    switch (fault) {
      case CUT, TRUNCATED, MALFORMED, OVERSIZE -> reply.reply(new CallResult.Lost(), latency);
      case LATE -> reply.reply(response, latency.plus(lateness));
      default -> reply.reply(response, latency);
    }
  }
}
