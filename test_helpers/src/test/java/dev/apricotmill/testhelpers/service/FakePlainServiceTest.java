package dev.apricotmill.testhelpers.service;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.peers.Link;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FakePlainServiceTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final Replica REPLICA =
      new Replica(
          new ReplicaId("desk"), new Zone("one"), new PeerAddress("10.0.0.1", 80), "vm-desk");

  private final VirtualTime time = new VirtualTime();
  private final Timing client = time.newTiming();
  private final FakePlainService service = new FakePlainService(time.newTiming());

  private CallResult order() {
    ServiceCall call =
        new ServiceCall(
            new RequestId("r"),
            new CustomerId("c"),
            new ServiceName("dispatch"),
            "POST",
            "/off",
            ImmutableMap.of("idempotency-key", "k"),
            new byte[0],
            client.deadlineAfter(TIMEOUT));
    CompletableFuture<CallResult> result =
        service.portFor(client).call(REPLICA, call, TIMEOUT).toCompletableFuture();
    time.advance(TIMEOUT);
    return result.join();
  }

  @Test
  void anOrderIsExecutedAndAnswered() {
    assertThat(order()).isInstanceOf(CallResult.Response.class);
    assertThat(service.core().ordersWithKey("k")).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({
    "LOST_AFTER_EFFECT, 1",
    "CUT, 1",
    "FROZEN, 1",
    "LATE, 1",
    "LOST_BEFORE_EFFECT, 0",
  })
  void aLostAnswerDoesNotTellWhetherTheOrderWasExecuted(Fault fault, long executions) {
    service.faults().once(ServiceOperation.ORDER, fault);

    assertThat(order()).isEqualTo(new CallResult.Lost());
    assertThat(service.core().orders()).isEqualTo(executions);
  }

  @Test
  void aRefusedConnectionExecutesNothing() {
    service.setLink(REPLICA.id(), Link.REFUSING);

    assertThat(order()).isEqualTo(new CallResult.NotSent());
    assertThat(service.core().log()).isEmpty();
  }

  @Test
  void aRepeatedOrderIsExecutedAgainAndNoted() {
    order();
    order();

    assertThat(service.core().ordersWithKey("k")).isEqualTo(2);
  }
}
