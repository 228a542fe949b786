package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static dev.apricotmill.adapters.AdapterFixture.TEST_TIMEOUT;
import static dev.apricotmill.adapters.AdapterFixture.await;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.service.ServiceOperation;
import dev.apricotmill.testhelpers.service.ServiceServer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class HttpPlainServiceTest {

  private AdapterFixture fixture;
  private ServiceServer server;
  private int calls;

  @BeforeEach
  void start() throws Exception {
    fixture = new AdapterFixture();
    server = new ServiceServer("one", 0, fixture.timing());
    fixture.closeAtEnd(server::close);
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private CallResult order(PeerAddress address, Duration timeout) throws Exception {
    return await(send(address, timeout));
  }

  private CompletionStage<CallResult> send(PeerAddress address, Duration timeout) {
    ServiceCall call =
        new ServiceCall(
            new RequestId("r-" + ++calls),
            new CustomerId("c"),
            new ServiceName("dispatch"),
            "POST",
            "/circuits/7/off?why=storm",
            ImmutableMap.of(
                "idempotency-key", "k-1", "content-type", "application/json", "host", "spoofed"),
            "{}".getBytes(UTF_8),
            fixture.timing().deadlineAfter(timeout));
    return new HttpPlainService(fixture.clients())
        .call(AdapterFixture.replicaAt(address), call, timeout);
  }

  @Test
  void anOrderReachesTheServiceWithItsKeyAndItsIdentifier() throws Exception {
    CallResult.Response response = (CallResult.Response) order(server.address(), TEST_TIMEOUT);

    assertThat(response.status()).isEqualTo(201);
    assertThat(response.headers()).containsEntry("content-type", "application/json");
    assertThat(server.core().ordersWithKey("k-1")).isEqualTo(1);
    assertThat(server.core().executionsOf("r-1")).isEqualTo(1);
    assertThat(server.core().log().get(0).path()).isEqualTo("/circuits/7/off?why=storm");
  }

  @ParameterizedTest
  @CsvSource({"CUT", "TRUNCATED", "OVERSIZE"})
  void anOrderWithAFaultyResponseIsNeverSentAgain(Fault fault) throws Exception {
    server.faults().once(ServiceOperation.ORDER, fault);

    assertThat(order(server.address(), TEST_TIMEOUT)).isEqualTo(new CallResult.Lost());
    assertThat(server.core().orders()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"LOST_AFTER_EFFECT", "FROZEN"})
  void anOrderWithoutResponseIsReportedAsLostAfterItsTimeout(Fault fault) throws Exception {
    server.faults().once(ServiceOperation.ORDER, fault);
    CompletionStage<CallResult> result = send(server.address(), TEST_TIMEOUT);
    fixture.expireTimeoutsOnce(() -> server.core().orders() == 1);

    assertThat(await(result)).isEqualTo(new CallResult.Lost());
    assertThat(server.core().orders()).isEqualTo(1);
  }

  @Test
  void anOrderToAServiceThatRefusesConnectionsIsReportedAsNotSent() throws Exception {
    assertThat(order(AdapterFixture.unusedAddress(), TEST_TIMEOUT))
        .isEqualTo(new CallResult.NotSent());
  }

  @Test
  void nothingIsSentWhenNoTimeRemains() throws Exception {
    assertThat(order(server.address(), Duration.ZERO)).isEqualTo(new CallResult.NotSent());
    assertThat(server.core().log()).isEmpty();
  }

  @Test
  void anOrderOnAConnectionThatThePeerClosedIsNeverExecutedTwice() throws Exception {
    assertThat(order(server.address(), TEST_TIMEOUT)).isInstanceOf(CallResult.Response.class);
    int port = server.address().port();
    server.close();
    try (ServiceServer restarted = new ServiceServer("one", port, fixture.timing())) {
      CallResult result = order(restarted.address(), TEST_TIMEOUT);

      assertThat(restarted.core().orders())
          .isEqualTo(result instanceof CallResult.Response ? 1 : 0);
    }
  }

  @Test
  void aLateResponseWithinTheTimeoutIsReturnedAlsoOnAReusedConnection() throws Exception {
    server.faults().always(ServiceOperation.ORDER, Fault.LATE);

    assertThat(order(server.address(), TEST_TIMEOUT)).isInstanceOf(CallResult.Response.class);
    assertThat(order(server.address(), TEST_TIMEOUT)).isInstanceOf(CallResult.Response.class);
  }

  @Test
  void aSecondResponseOfAServiceIsNotTakenForTheResponseToTheNextCall() throws Exception {
    for (String first : List.of("", "apricotmill-request-id: r-1\r\n")) {
      for (String second : List.of("", "apricotmill-request-id: r-1\r\n")) {
        calls = 0;
        PeerAddress service =
            fixture
                .serve(
                    ImmutableList.of(rawResponse(first, "one"), rawResponse(second, "late")),
                    ImmutableList.of(rawResponse("", "two")))
                .address();

        assertThat(textOf(order(service, TEST_TIMEOUT))).isEqualTo("one");
        assertThat(textOf(order(service, TEST_TIMEOUT))).isNotEqualTo("late");
      }
    }
  }

  @Test
  void aConnectionOfAServiceThatNamesItsCallsIsUsedAgain() throws Exception {
    PeerAddress service =
        fixture.serve(
            ImmutableList.of(
                rawResponse("apricotmill-request-id: r-1\r\n", "one"),
                rawResponse("apricotmill-request-id: r-2\r\n", "two")));

    assertThat(textOf(order(service, TEST_TIMEOUT))).isEqualTo("one");
    assertThat(textOf(order(service, TEST_TIMEOUT))).isEqualTo("two");
  }

  private static String rawResponse(String headers, String body) {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String textOf(CallResult result) {
    return result instanceof CallResult.Response response
        ? new String(response.body(), UTF_8)
        : result.toString();
  }
}
