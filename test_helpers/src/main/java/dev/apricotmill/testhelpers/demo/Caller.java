package dev.apricotmill.testhelpers.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** A caller of the public port that notes times and outcomes. */
final class Caller {

  private static final String CUSTOMER_KEY = "Bearer crews-key-0123456789";
  private static final String MODEL = "assistant";
  private static final Duration GIVE_UP = Duration.ofSeconds(90);
  private static final String DATA = "data: ";
  private static final JsonMapper MAPPER = new JsonMapper();

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final String timeLimitSeconds;

  Caller(Duration timeLimit) {
    this.timeLimitSeconds = Long.toString(timeLimit.toSeconds());
  }

  /** Asks for a completion as a stream. */
  CallResult streamCompletion(String daemon, String prompt, int tokens) {
    ObjectNode body = MAPPER.createObjectNode().put("prompt", prompt);
    return stream(daemon, "/v1/completions", body, tokens);
  }

  /** Asks for a chat completion as a stream. */
  CallResult streamChat(String daemon, String message, int tokens) {
    return stream(daemon, "/v1/chat/completions", chat(message), tokens);
  }

  /** Asks for a completion as a whole. */
  CallResult wholeCompletion(String daemon, String prompt, int tokens) {
    ObjectNode body = MAPPER.createObjectNode().put("prompt", prompt);
    return whole(post(daemon, "/v1/completions", model(body, tokens, false)));
  }

  /** Asks for a chat completion as a whole. */
  CallResult wholeChat(String daemon, String message, int tokens) {
    return whole(post(daemon, "/v1/chat/completions", model(chat(message), tokens, false)));
  }

  /** Sends an order with a key to the plain service. */
  CallResult order(String daemon, String path, String key) {
    HttpRequest request =
        request(daemon, "/services/dispatch" + path)
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    return whole(request);
  }

  /** Reads a status from the plain service. */
  CallResult read(String daemon, String path) {
    return whole(request(daemon, "/services/dispatch" + path).GET().build());
  }

  private static ObjectNode chat(String message) {
    ObjectNode body = MAPPER.createObjectNode();
    body.putArray("messages").addObject().put("role", "user").put("content", message);
    return body;
  }

  private static ObjectNode model(ObjectNode body, int tokens, boolean stream) {
    return body.put("model", MODEL).put("max_tokens", tokens).put("stream", stream);
  }

  private HttpRequest.Builder request(String daemon, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + daemon + path))
        .timeout(GIVE_UP)
        .header("Authorization", CUSTOMER_KEY)
        .header("Request-Timeout", timeLimitSeconds)
        .header("Content-Type", "application/json");
  }

  private HttpRequest post(String daemon, String path, ObjectNode body) {
    return request(daemon, path).POST(HttpRequest.BodyPublishers.ofString(body.toString())).build();
  }

  private CallResult whole(HttpRequest request) {
    long start = System.nanoTime();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      Duration total = since(start);
      return new CallResult(
          response.statusCode(),
          header(response, "Apricotmill-Outcome"),
          wholeText(response),
          header(response, "Apricotmill-Replayed").equals("true"),
          header(response, "Apricotmill-Request-Id"),
          header(response, "Apricotmill-Hops"),
          Optional.of(total),
          total);
    } catch (IOException broken) {
      return broken(start, "", Optional.empty());
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
      return broken(start, "", Optional.empty());
    }
  }

  private static String wholeText(HttpResponse<String> response) {
    Optional<JsonNode> choice =
        read(response.body()).map(body -> body.path("choices").path(0)).filter(JsonNode::isObject);
    return choice
        .map(node -> node.path("text").asText(node.path("message").path("content").asText()))
        .orElse(response.body());
  }

  private CallResult stream(String daemon, String path, ObjectNode body, int tokens) {
    HttpRequest request = post(daemon, path, model(body, tokens, true));
    StreamReading reading = new StreamReading(System.nanoTime());
    try {
      HttpResponse<Stream<String>> response =
          client.send(request, HttpResponse.BodyHandlers.ofLines());
      if (response.statusCode() != 200) {
        return reading.refused(response);
      }
      try (Stream<String> lines = response.body()) {
        return reading.read(response, lines.iterator());
      }
    } catch (IOException | UncheckedIOException broken) {
      return broken(reading.start, reading.text.toString(), reading.firstToken);
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
      return broken(reading.start, reading.text.toString(), reading.firstToken);
    }
  }

  /** Gathers one streamed answer. */
  private static final class StreamReading {

    private final long start;
    private final StringBuilder text = new StringBuilder();
    private Optional<Duration> firstToken = Optional.empty();
    private String outcome = "";
    private String hops = "";

    StreamReading(long start) {
      this.start = start;
    }

    CallResult refused(HttpResponse<Stream<String>> response) {
      return result(
          response,
          header(response, "Apricotmill-Outcome"),
          String.join("", response.body().toList()),
          header(response, "Apricotmill-Hops"));
    }

    CallResult read(HttpResponse<Stream<String>> response, Iterator<String> lines) {
      while (lines.hasNext()) {
        String line = lines.next();
        if (line.startsWith(DATA)) {
          Caller.read(line.substring(DATA.length())).ifPresent(this::take);
        }
      }
      return result(response, outcome, text.toString(), hops);
    }

    private CallResult result(
        HttpResponse<?> response, String finalOutcome, String finalText, String finalHops) {
      return new CallResult(
          response.statusCode(),
          finalOutcome,
          finalText,
          false,
          header(response, "Apricotmill-Request-Id"),
          finalHops,
          firstToken,
          since(start));
    }

    private void take(JsonNode event) {
      JsonNode choice = event.path("choices").path(0);
      String piece = choice.path("text").asText(choice.path("delta").path("content").asText());
      if (!piece.isEmpty()) {
        firstToken = firstToken.or(() -> Optional.of(since(start)));
        text.append(piece);
      }
      if (event.has("apricotmill_outcome")) {
        outcome = event.path("apricotmill_outcome").asText();
        List<String> names = new ArrayList<>();
        event.path("apricotmill_hops").forEach(hop -> names.add(hop.asText()));
        hops = String.join(",", names);
      }
    }
  }

  private static CallResult broken(long start, String text, Optional<Duration> firstToken) {
    return new CallResult(0, "", text, false, "", "", firstToken, since(start));
  }

  private static String header(HttpResponse<?> response, String name) {
    return response.headers().firstValue(name).orElse("");
  }

  private static Duration since(long start) {
    return Duration.ofNanos(System.nanoTime() - start);
  }

  private static Optional<JsonNode> read(String json) {
    try {
      return Optional.of(MAPPER.readTree(json)).filter(JsonNode::isObject);
    } catch (JsonProcessingException notJson) {
      return Optional.empty();
    }
  }
}
