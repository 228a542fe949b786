package dev.apricotmill.daemon.client;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.daemon.testing.Eventually;
import dev.apricotmill.testhelpers.StandInText;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.service.ServiceOperation;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.UUID;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class RealClientTest {

  private static final String PROMPT = "Which circuit feeds the post?";
  private static final int TOKENS = 12;
  private static final String DATA = "data: ";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private WholeDaemon daemon;
  private CloseableHttpClient client;

  /** A whole answer. */
  private record Received(int status, ImmutableList<Header> headers, String body) {

    static Received of(ClassicHttpResponse response) throws IOException {
      try {
        String body = EntityUtils.toString(response.getEntity());
        return new Received(response.getCode(), ImmutableList.copyOf(response.getHeaders()), body);
      } catch (ParseException malformed) {
        throw new IOException(malformed);
      }
    }

    String header(String name) {
      for (Header header : headers) {
        if (header.getName().equalsIgnoreCase(name)) {
          return header.getValue();
        }
      }
      return "";
    }

    JsonNode json() throws IOException {
      return MAPPER.readTree(body);
    }
  }

  @BeforeEach
  void start() throws Exception {
    daemon = WholeDaemon.start();
    client = HttpClients.custom().disableAutomaticRetries().build();
    Eventually.holds(this::isReady);
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    daemon.close();
  }

  private boolean isReady() {
    HttpGet request =
        new HttpGet("http://127.0.0.1:" + daemon.operatorsAddress().getPort() + "/ready");
    try {
      return client.execute(request, Received::of).status() == 200;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private String url(String path) {
    return "http://127.0.0.1:" + daemon.publicAddress().getPort() + path;
  }

  private HttpPost completion(String path, String json) {
    HttpPost request = new HttpPost(url(path));
    request.setHeader("Authorization", "Bearer " + WholeDaemon.CUSTOMER_KEY);
    request.setEntity(new StringEntity(json, ContentType.APPLICATION_JSON));
    return request;
  }

  private static String completionBody(boolean stream) {
    return String.format(
        "{\"model\":\"assistant\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%b}",
        PROMPT, TOKENS, stream);
  }

  private static String chatBody(boolean stream) {
    return String.format(
        "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}],"
            + "\"max_tokens\":%d,\"stream\":%b}",
        PROMPT, TOKENS, stream);
  }

  private Received send(HttpUriRequestBase request) throws IOException {
    return client.execute(request, Received::of);
  }

  private List<String> events(HttpUriRequestBase request) throws IOException {
    return client.execute(
        request,
        response -> {
          assertThat(response.getCode()).isEqualTo(200);
          assertThat(response.getFirstHeader("Content-Type").getValue())
              .startsWith("text/event-stream");
          BufferedReader reader =
              new BufferedReader(new InputStreamReader(response.getEntity().getContent(), UTF_8));
          return reader
              .lines()
              .filter(line -> line.startsWith(DATA))
              .map(line -> line.substring(DATA.length()))
              .toList();
        });
  }

  @Test
  void aWholeAnswerCarriesItsTextItsCountsItsOutcomeAndItsHops() throws Exception {
    Received answer = send(completion("/v1/completions", completionBody(false)));

    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.header("Apricotmill-Outcome")).isEqualTo("answered");
    assertThat(answer.header("Apricotmill-Request-Id")).isNotEmpty();
    assertThat(answer.header("Apricotmill-Hops")).startsWith("entry-1,");
    JsonNode json = answer.json();
    assertThat(json.path("choices").path(0).path("text").asText())
        .isEqualTo(StandInText.expected(PROMPT, TOKENS));
    assertThat(json.path("usage").path("completion_tokens").asInt()).isEqualTo(TOKENS);
    assertThat(json.path("usage").path("prompt_tokens").asLong())
        .isEqualTo(StandInText.tokens(PROMPT));
  }

  @Test
  void aStreamedAnswerComesInPiecesAndEndsExplicitly() throws Exception {
    List<String> events = events(completion("/v1/completions", completionBody(true)));

    StringBuilder text = new StringBuilder();
    for (String event : events.subList(0, events.size() - 1)) {
      text.append(MAPPER.readTree(event).path("choices").path(0).path("text").asText());
    }
    JsonNode last = MAPPER.readTree(events.get(events.size() - 2));
    assertThat(text.toString()).isEqualTo(StandInText.expected(PROMPT, TOKENS));
    assertThat(last.path("apricotmill_outcome").asText()).isEqualTo("answered");
    assertThat(last.path("choices").path(0).path("finish_reason").asText()).isEqualTo("length");
    assertThat(events.get(events.size() - 1)).isEqualTo("[DONE]");
    assertThat(events.size()).isAtLeast(TOKENS + 1);
  }

  @Test
  void aStreamedChatHasTheTextOfTheWholeOne() throws Exception {
    JsonNode whole = send(completion("/v1/chat/completions", chatBody(false))).json();
    List<String> events = events(completion("/v1/chat/completions", chatBody(true)));

    StringBuilder text = new StringBuilder();
    for (String event : events.subList(0, events.size() - 1)) {
      JsonNode delta = MAPPER.readTree(event).path("choices").path(0).path("delta");
      text.append(delta.path("content").asText());
    }
    assertThat(text.toString()).isNotEmpty();
    assertThat(text.toString())
        .isEqualTo(whole.path("choices").path(0).path("message").path("content").asText());
  }

  @Test
  void aMissingKeyIsRefusedWithProblemDetails() throws Exception {
    HttpPost request = completion("/v1/completions", completionBody(false));
    request.removeHeaders("Authorization");
    Received answer = send(request);

    assertThat(answer.status()).isEqualTo(401);
    assertThat(answer.header("Content-Type")).startsWith("application/problem+json");
    assertThat(answer.header("Apricotmill-Outcome")).isEqualTo("not-run");
    assertThat(answer.json().path("reason").asText()).isEqualTo("unknown-customer");
    assertThat(answer.json().path("request_id").asText())
        .isEqualTo(answer.header("Apricotmill-Request-Id"));
    assertThat(daemon.engine().core().log()).isEmpty();
  }

  @Test
  void malformedJsonIsRefusedAndTheConnectionStaysUsable() throws Exception {
    Received refused = send(completion("/v1/completions", "{\"model\":"));
    Received answered = send(completion("/v1/completions", completionBody(false)));

    assertThat(refused.status()).isEqualTo(400);
    assertThat(refused.header("Apricotmill-Outcome")).isEqualTo("not-run");
    assertThat(answered.status()).isEqualTo(200);
  }

  @Test
  void anUnknownPoolIsRefusedAsNotRun() throws Exception {
    Received answer =
        send(completion("/v1/completions", "{\"model\":\"nowhere\",\"prompt\":\"x\"}"));

    assertThat(answer.status()).isEqualTo(404);
    assertThat(answer.json().path("reason").asText()).isEqualTo("unknown-service");
  }

  @Test
  void aStatusReadIsRelayedWithTheServicesAnswer() throws Exception {
    HttpGet request = new HttpGet(url("/services/dispatch/status/circuits/7"));
    request.setHeader("Authorization", "Bearer " + WholeDaemon.CUSTOMER_KEY);
    Received answer = send(request);

    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.header("Apricotmill-Outcome")).isEqualTo("answered");
    assertThat(answer.json().path("operation").asText()).isEqualTo("READ");
    assertThat(daemon.service().core().executionsOf(answer.header("Apricotmill-Request-Id")))
        .isEqualTo(1);
  }

  @Test
  void anOrderWithoutAKeyIsRefusedAsNotRun() throws Exception {
    Received answer = send(completion("/services/dispatch/orders/circuits/7/off", "{}"));

    assertThat(answer.status()).isEqualTo(400);
    assertThat(answer.header("Apricotmill-Outcome")).isEqualTo("not-run");
    assertThat(daemon.service().core().orders()).isEqualTo(0);
  }

  @Test
  void aRepeatedKeyGetsTheFirstAnswerAndRunsOnce() throws Exception {
    String key = timedKey();
    Received first = send(order(key));
    Received second = send(order(key));

    assertThat(first.status()).isEqualTo(201);
    assertThat(first.header("Apricotmill-Replayed")).isEmpty();
    assertThat(second.status()).isEqualTo(201);
    assertThat(second.header("Apricotmill-Replayed")).isEqualTo("true");
    assertThat(second.body()).isEqualTo(first.body());
    assertThat(daemon.service().core().ordersWithKey(key)).isEqualTo(1);
  }

  @Test
  void anOrderWhoseAnswerIsCutIsToldAsUnknownAndNeverRepeated() throws Exception {
    String key = timedKey();
    daemon.service().faults().once(ServiceOperation.ORDER, Fault.CUT);
    Received first = send(order(key));
    Received second = send(order(key));

    assertThat(first.header("Apricotmill-Outcome")).isEqualTo("unknown-may-have-run");
    assertThat(second.header("Apricotmill-Outcome")).isEqualTo("unknown-may-have-run");
    assertThat(daemon.service().core().ordersWithKey(key)).isEqualTo(1);
  }

  private HttpPost order(String key) {
    HttpPost request = completion("/services/dispatch/orders/circuits/7/off", "{}");
    request.setHeader("Idempotency-Key", key);
    return request;
  }

  /** Returns a UUID version 7 (RFC 9562) made now. */
  private static String timedKey() {
    long high = (System.currentTimeMillis() << 16) | 0x7000L;
    return new UUID(high, 0x8000_0000_0000_0001L).toString();
  }

  @Test
  void aCallThatNoRuleAllowsIsRefusedAsNotRun() throws Exception {
    Received answer = send(completion("/services/dispatch/administration", "{}"));

    assertThat(answer.header("Apricotmill-Outcome")).isEqualTo("not-run");
    assertThat(daemon.service().core().orders()).isEqualTo(0);
  }
}
