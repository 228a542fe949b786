package dev.apricotmill.daemon.client;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.daemon.testing.Eventually;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.service.ServiceOperation;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class DrainTest {

  private final HttpClient client = HttpClient.newHttpClient();
  private DaemonWithBackends daemon;

  @BeforeEach
  void start() throws Exception {
    daemon = DaemonWithBackends.start();
    Eventually.holds(this::isReady);
  }

  @AfterEach
  void stop() throws Exception {
    daemon.close();
  }

  @Test
  void anOrderThatIsOpenWhenTheDrainTimeIsOverGetsAnUnknownOutcome() throws Exception {
    String key = DaemonWithBackends.newTimedKey();
    daemon.service().faults().once(ServiceOperation.ORDER, Fault.LOST_AFTER_EFFECT);
    CompletableFuture<HttpResponse<String>> response = order(key);
    Eventually.holds(() -> daemon.service().core().ordersWithKey(key) == 1);

    assertThat(daemon.drain()).isFalse();
    daemon.close();

    assertThat(response.join().statusCode()).isEqualTo(504);
    assertThat(response.join().headers().firstValue("Apricotmill-Outcome"))
        .hasValue("unknown-may-have-run");
    assertThat(response.join().body()).contains("daemon-stopped");
  }

  @Test
  void anOrderThatComesDuringTheDrainIsRefusedAsNotRun() throws Exception {
    assertThat(daemon.drain()).isTrue();

    HttpResponse<String> response = order(DaemonWithBackends.newTimedKey()).join();

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("Apricotmill-Outcome")).hasValue("not-run");
    assertThat(daemon.service().core().orders()).isEqualTo(0);
  }

  private boolean isReady() {
    URI ready = URI.create("http://127.0.0.1:" + daemon.operatorsAddress().getPort() + "/ready");
    return client
            .sendAsync(
                HttpRequest.newBuilder(ready).build(), HttpResponse.BodyHandlers.discarding())
            .join()
            .statusCode()
        == 200;
  }

  private CompletableFuture<HttpResponse<String>> order(String key) {
    URI orders =
        URI.create(
            "http://127.0.0.1:"
                + daemon.publicAddress().getPort()
                + "/services/dispatch/orders/circuits/7/off");
    return client.sendAsync(
        HttpRequest.newBuilder(orders)
            .header("Authorization", "Bearer " + DaemonWithBackends.CUSTOMER_KEY)
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }
}
