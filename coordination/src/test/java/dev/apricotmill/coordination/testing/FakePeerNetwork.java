package dev.apricotmill.coordination.testing;

import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.membership.ProbeEndpoint;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * An in-memory network for probes and fetches between simulated daemons, on virtual time, with
 * injected partitions.
 *
 * <p>A request runs on the receiver's scheduler and its response on the sender's, so paused and
 * stopped processes do not answer. A drop rule applies to each message separately: a request can
 * arrive although its response is dropped.
 */
public final class FakePeerNetwork {

  private static final Duration DEFAULT_ONE_WAY_DELAY = Duration.ofMillis(1);

  private final VirtualScheduler networkScheduler;
  private final Map<PeerAddress, Receiver> receivers = new HashMap<>();
  private final List<Predicate<PeerMessage>> dropRules = new ArrayList<>();
  private final Map<String, Long> requestCounts = new HashMap<>();
  private Duration oneWayDelay = DEFAULT_ONE_WAY_DELAY;

  /** Creates a network on {@code time} with no receivers. */
  public FakePeerNetwork(VirtualTime time) {
    this.networkScheduler = time.newScheduler();
  }

  /** Returns a client for the process with this name, zone and scheduler. */
  public PeerProbes clientFor(String name, Zone zone, VirtualScheduler scheduler) {
    return new Client(name, zone, scheduler);
  }

  /** Registers the receiver at {@code address}, replacing an earlier one. */
  public void listen(
      String name,
      Zone zone,
      PeerAddress address,
      VirtualScheduler scheduler,
      ProbeEndpoint endpoint) {
    receivers.put(address, new Receiver(name, zone, scheduler, endpoint));
  }

  /** Removes the receiver at {@code address}. */
  public void stopListening(PeerAddress address) {
    receivers.remove(address);
  }

  /** Drops matching messages until {@link #heal}. */
  public void dropMatching(Predicate<PeerMessage> matching) {
    dropRules.add(matching);
  }

  /** Drops all messages between {@code zone} and other zones, in both directions. */
  public void partitionZone(Zone zone) {
    dropMatching(
        message ->
            !message.fromZone().equals(message.toZone())
                && (message.fromZone().equals(zone) || message.toZone().equals(zone)));
  }

  /** Drops all messages from and to the named process. */
  public void partitionProcess(String name) {
    dropMatching(message -> message.from().equals(name) || message.to().equals(name));
  }

  /** Removes all drop rules. */
  public void heal() {
    dropRules.clear();
  }

  /** Sets the one-way latency of every message. */
  public void setOneWayDelay(Duration delay) {
    oneWayDelay = delay;
  }

  /** Returns how many requests the named process has sent. */
  public long requestCountOf(String name) {
    return requestCounts.getOrDefault(name, 0L);
  }

  private void transmit(PeerMessage message, VirtualScheduler receiver, Runnable delivery) {
    if (dropRules.stream().anyMatch(dropRule -> dropRule.test(message))) {
      return;
    }
    networkScheduler.schedule(
        () -> receiver.execute(delivery), oneWayDelay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private static final class Receiver {

    private final String name;
    private final Zone zone;
    private final VirtualScheduler scheduler;
    private final ProbeEndpoint endpoint;

    Receiver(String name, Zone zone, VirtualScheduler scheduler, ProbeEndpoint endpoint) {
      this.name = name;
      this.zone = zone;

      this.scheduler = scheduler;
      this.endpoint = endpoint;
    }
  }

  private final class Client implements PeerProbes {

    private final String name;
    private final Zone zone;
    private final VirtualScheduler scheduler;

    Client(String name, Zone zone, VirtualScheduler scheduler) {
      this.name = name;
      this.zone = zone;
      this.scheduler = scheduler;
    }

    @Override
    public CompletionStage<ProbeResult> probe(
        PeerAddress peer, ProbeMessage message, Duration timeout) {
      return send(
          peer,
          timeout,
          new ProbeResult.NoAnswer(),
          (endpoint, reply) -> reply.accept(new ProbeResult.Answered(endpoint.onProbe(message))));
    }

    @Override
    public CompletionStage<ProbeResult> probeThrough(
        PeerAddress peer, Member target, ProbeMessage message, Duration timeout) {
      return send(
          peer,
          timeout,
          new ProbeResult.NoAnswer(),
          (endpoint, reply) -> endpoint.onProbeThrough(target, message).thenAccept(reply));
    }

    @Override
    public CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout) {
      return send(
          peer,
          timeout,
          new FetchResult.NoAnswer(),
          (endpoint, reply) -> reply.accept(endpoint.onFetch(partName)));
    }

    private <R> CompletionStage<R> send(
        PeerAddress peer, Duration timeout, R noAnswer, Handler<R> handler) {
      requestCounts.merge(name, 1L, Long::sum);
      CompletableFuture<R> response = new CompletableFuture<>();
      scheduler.schedule(
          () -> response.complete(noAnswer), timeout.toNanos(), TimeUnit.NANOSECONDS);
      Receiver target = receivers.get(peer);
      if (target != null) {
        PeerMessage request = new PeerMessage(name, zone, target.name, target.zone);
        PeerMessage reply = new PeerMessage(target.name, target.zone, name, zone);
        transmit(
            request,
            target.scheduler,
            () ->
                handler.handle(
                    target.endpoint,
                    result -> transmit(reply, scheduler, () -> response.complete(result))));
      }
      return response;
    }
  }

  /** Handles a request at the receiver and passes the result to {@code reply}. */
  private interface Handler<R> {
    void handle(ProbeEndpoint endpoint, Consumer<R> reply);
  }
}
