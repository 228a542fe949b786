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
final class HttpClientLibraryTest {

  private static final String PROMPT = "Which circuit feeds the post?";
  private static final int OUTPUT_TOKENS = 12;
  private static final String DATA_PREFIX = "data: ";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private DaemonWithBackends daemon;
  private CloseableHttpClient client;

  /** A completely received response. */
  private record ReceivedResponse(int status, ImmutableList<Header> headers, String body) {

    static ReceivedResponse of(ClassicHttpResponse response) throws IOException {
      try {
        String body = EntityUtils.toString(response.getEntity());
        return new ReceivedResponse(
            response.getCode(), ImmutableList.copyOf(response.getHeaders()), body);
      } catch (ParseException e) {
        throw new IOException(e);
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
    daemon = DaemonWithBackends.start();
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
      return client.execute(request, ReceivedResponse::of).status() == 200;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String url(String path) {
    return "http://127.0.0.1:" + daemon.publicAddress().getPort() + path;
  }

  private HttpPost completion(String path, String json) {
    HttpPost request = new HttpPost(url(path));
    request.setHeader("Authorization", "Bearer " + DaemonWithBackends.CUSTOMER_KEY);
    request.setEntity(new StringEntity(json, ContentType.APPLICATION_JSON));
    return request;
  }

  private static String completionBody(boolean stream) {
    return String.format(
        "{\"model\":\"assistant\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%b}",
        PROMPT, OUTPUT_TOKENS, stream);
  }

  private static String chatBody(boolean stream) {
    return String.format(
        "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}],"
            + "\"max_tokens\":%d,\"stream\":%b}",
        PROMPT, OUTPUT_TOKENS, stream);
  }

  private ReceivedResponse send(HttpUriRequestBase request) throws IOException {
    return client.execute(request, ReceivedResponse::of);
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
              .filter(line -> line.startsWith(DATA_PREFIX))
              .map(line -> line.substring(DATA_PREFIX.length()))
              .toList();
        });
  }

  @Test
  void aCompleteResponseCarriesTextUsageOutcomeAndHops() throws Exception {
    ReceivedResponse response = send(completion("/v1/completions", completionBody(false)));

    assertThat(response.status()).isEqualTo(200);
    assertThat(response.header("Apricotmill-Outcome")).isEqualTo("answered");
    assertThat(response.header("Apricotmill-Request-Id")).isNotEmpty();
    assertThat(response.header("Apricotmill-Hops")).startsWith("entry-1,");
    JsonNode json = response.json();
    assertThat(json.path("choices").path(0).path("text").asText())
        .isEqualTo(StandInText.expected(PROMPT, OUTPUT_TOKENS));
    assertThat(json.path("usage").path("completion_tokens").asInt()).isEqualTo(OUTPUT_TOKENS);
    assertThat(json.path("usage").path("prompt_tokens").asLong())
        .isEqualTo(StandInText.tokens(PROMPT));
  }

  @Test
  void aStreamedResponseArrivesInChunksAndEndsWithDone() throws Exception {
    List<String> events = events(completion("/v1/completions", completionBody(true)));

    StringBuilder text = new StringBuilder();
    for (String event : events.subList(0, events.size() - 1)) {
      text.append(MAPPER.readTree(event).path("choices").path(0).path("text").asText());
    }
    JsonNode last = MAPPER.readTree(events.get(events.size() - 2));
    assertThat(text.toString()).isEqualTo(StandInText.expected(PROMPT, OUTPUT_TOKENS));
    assertThat(last.path("apricotmill_outcome").asText()).isEqualTo("answered");
    assertThat(last.path("choices").path(0).path("finish_reason").asText()).isEqualTo("length");
    assertThat(events.get(events.size() - 1)).isEqualTo("[DONE]");
    assertThat(events.size()).isAtLeast(OUTPUT_TOKENS + 1);
  }

  @Test
  void aStreamedChatHasTheTextOfTheCompleteResponse() throws Exception {
    JsonNode complete = send(completion("/v1/chat/completions", chatBody(false))).json();
    List<String> events = events(completion("/v1/chat/completions", chatBody(true)));

    StringBuilder text = new StringBuilder();
    for (String event : events.subList(0, events.size() - 1)) {
      JsonNode delta = MAPPER.readTree(event).path("choices").path(0).path("delta");
      text.append(delta.path("content").asText());
    }
    assertThat(text.toString()).isNotEmpty();
    assertThat(text.toString())
        .isEqualTo(complete.path("choices").path(0).path("message").path("content").asText());
  }

  @Test
  void aMissingKeyIsRefusedWithProblemDetails() throws Exception {
    HttpPost request = completion("/v1/completions", completionBody(false));
    request.removeHeaders("Authorization");
    ReceivedResponse response = send(request);

    assertThat(response.status()).isEqualTo(401);
    assertThat(response.header("Content-Type")).startsWith("application/problem+json");
    assertThat(response.header("Apricotmill-Outcome")).isEqualTo("not-run");
    assertThat(response.json().path("reason").asText()).isEqualTo("unknown-customer");
    assertThat(response.json().path("request_id").asText())
        .isEqualTo(response.header("Apricotmill-Request-Id"));
    assertThat(daemon.engine().core().log()).isEmpty();
  }

  @Test
  void malformedJsonIsRefusedAndTheConnectionStaysUsable() throws Exception {
    ReceivedResponse refused = send(completion("/v1/completions", "{\"model\":"));
    ReceivedResponse answered = send(completion("/v1/completions", completionBody(false)));

    assertThat(refused.status()).isEqualTo(400);
    assertThat(refused.header("Apricotmill-Outcome")).isEqualTo("not-run");
    assertThat(answered.status()).isEqualTo(200);
  }

  @Test
  void anUnknownPoolIsRefusedAsNotRun() throws Exception {
    ReceivedResponse response =
        send(completion("/v1/completions", "{\"model\":\"nowhere\",\"prompt\":\"x\"}"));

    assertThat(response.status()).isEqualTo(404);
    assertThat(response.json().path("reason").asText()).isEqualTo("unknown-service");
  }

  @Test
  void aStatusReadIsRelayedWithTheResponseOfTheService() throws Exception {
    HttpGet request = new HttpGet(url("/services/dispatch/status/circuits/7"));
    request.setHeader("Authorization", "Bearer " + DaemonWithBackends.CUSTOMER_KEY);
    ReceivedResponse response = send(request);

    assertThat(response.status()).isEqualTo(200);
    assertThat(response.header("Apricotmill-Outcome")).isEqualTo("answered");
    assertThat(response.json().path("operation").asText()).isEqualTo("READ");
    assertThat(daemon.service().core().executionsOf(response.header("Apricotmill-Request-Id")))
        .isEqualTo(1);
  }

  @Test
  void anOrderWithoutAKeyIsRefusedAsNotRun() throws Exception {
    ReceivedResponse response = send(completion("/services/dispatch/orders/circuits/7/off", "{}"));

    assertThat(response.status()).isEqualTo(400);
    assertThat(response.header("Apricotmill-Outcome")).isEqualTo("not-run");
    assertThat(daemon.service().core().orders()).isEqualTo(0);
  }

  @Test
  void aRepeatedKeyGetsTheFirstResponseAndRunsOnce() throws Exception {
    String key = DaemonWithBackends.newTimedKey();
    ReceivedResponse first = send(order(key));
    ReceivedResponse second = send(order(key));

    assertThat(first.status()).isEqualTo(201);
    assertThat(first.header("Apricotmill-Replayed")).isEmpty();
    assertThat(second.status()).isEqualTo(201);
    assertThat(second.header("Apricotmill-Replayed")).isEqualTo("true");
    assertThat(second.body()).isEqualTo(first.body());
    assertThat(daemon.service().core().ordersWithKey(key)).isEqualTo(1);
  }

  @Test
  void anOrderWhoseResponseIsCutIsReportedAsUnknownAndNeverRepeated() throws Exception {
    String key = DaemonWithBackends.newTimedKey();
    daemon.service().faults().once(ServiceOperation.ORDER, Fault.CUT);
    ReceivedResponse first = send(order(key));
    ReceivedResponse second = send(order(key));

    assertThat(first.header("Apricotmill-Outcome")).isEqualTo("unknown-may-have-run");
    assertThat(second.header("Apricotmill-Outcome")).isEqualTo("unknown-may-have-run");
    assertThat(daemon.service().core().ordersWithKey(key)).isEqualTo(1);
  }

  private HttpPost order(String key) {
    HttpPost request = completion("/services/dispatch/orders/circuits/7/off", "{}");
    request.setHeader("Idempotency-Key", key);
    return request;
  }

  @Test
  void aCallThatNoRuleAllowsIsRefusedAsNotRun() throws Exception {
    ReceivedResponse response = send(completion("/services/dispatch/administration", "{}"));

    assertThat(response.header("Apricotmill-Outcome")).isEqualTo("not-run");
    assertThat(daemon.service().core().orders()).isEqualTo(0);
  }
}
