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
 * The network between simulated daemons for probes and fetches, on virtual time, with cuts.
 *
 * <p>A message runs on the receiver's scheduler and its answer on the sender's, so that frozen and
 * killed processes stay silent. A cut applies to one direction: the request may arrive and its
 * answer be lost.
 */
public final class FakePeerNetwork {

  private static final Duration DEFAULT_ONE_WAY_DELAY = Duration.ofMillis(1);

  private final VirtualScheduler networkScheduler;
  private final Map<PeerAddress, Receiver> receivers = new HashMap<>();
  private final List<Predicate<PeerMessage>> dropRules = new ArrayList<>();
  private final Map<String, Long> requestCounts = new HashMap<>();
  private Duration oneWayDelay = DEFAULT_ONE_WAY_DELAY;

  /** Makes a network on {@code time} with no receivers. */
  public FakePeerNetwork(VirtualTime time) {
    this.networkScheduler = time.newScheduler();
  }

  /** Returns the network as a process with this name, zone and scheduler reaches it. */
  public PeerProbes clientFor(String name, Zone zone, VirtualScheduler scheduler) {
    return new Client(name, zone, scheduler);
  }

  /** Lets the process at {@code address} receive; replaces an earlier one. */
  public void listen(
      String name,
      Zone zone,
      PeerAddress address,
      VirtualScheduler scheduler,
      ProbeEndpoint endpoint) {
    receivers.put(address, new Receiver(name, zone, scheduler, endpoint));
  }

  /** Stops the process at {@code address} from receiving. */
  public void stopListening(PeerAddress address) {
    receivers.remove(address);
  }

  /** Drops matching messages until {@link #heal}. */
  public void dropMatching(Predicate<PeerMessage> matching) {
    dropRules.add(matching);
  }

  /** Drops all messages between a zone and the others, in both directions. */
  public void partitionZone(Zone zone) {
    dropMatching(
        request ->
            !request.fromZone().equals(request.toZone())
                && (request.fromZone().equals(zone) || request.toZone().equals(zone)));
  }

  /** Drops all messages from and to a process. */
  public void partitionProcess(String name) {
    dropMatching(request -> request.from().equals(name) || request.to().equals(name));
  }

  /** Ends all cuts. */
  public void heal() {
    dropRules.clear();
  }

  /** Sets the time that a message takes one way. */
  public void setOneWayDelay(Duration delay) {
    oneWayDelay = delay;
  }

  /** Returns how many requests a process has sent. */
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
          new ProbeResult.Silent(),
          (endpoint, reply) -> reply.accept(new ProbeResult.Answered(endpoint.onProbe(message))));
    }

    @Override
    public CompletionStage<ProbeResult> probeThrough(
        PeerAddress peer, Member target, ProbeMessage message, Duration timeout) {
      return send(
          peer,
          timeout,
          new ProbeResult.Silent(),
          (endpoint, reply) -> endpoint.onProbeThrough(target, message).thenAccept(reply));
    }

    @Override
    public CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout) {
      return send(
          peer,
          timeout,
          new FetchResult.Silent(),
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

  /** What a receiver does with a request. */
  private interface Handler<R> {
    void handle(ProbeEndpoint endpoint, Consumer<R> reply);
  }
}
