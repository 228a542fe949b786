package dev.apricotmill.testhelpers.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Reads from the stand-ins and from the operators' ports what really happened. */
final class StandInLogs {

  private static final Duration PATIENCE = Duration.ofSeconds(5);
  private static final JsonMapper MAPPER = new JsonMapper();

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(PATIENCE).build();
  private final List<String> engines;
  private final List<String> services;

  StandInLogs(List<String> engines, List<String> services) {
    this.engines = List.copyOf(engines);
    this.services = List.copyOf(services);
  }

  /** Returns how often an order with a key was executed, over all replicas. */
  long ordersWithKey(String key) {
    return serviceLog().stream()
        .filter(entry -> entry.path("operation").asText().equals("ORDER"))
        .filter(entry -> entry.path("idempotency_key").asText().equals(key))
        .count();
  }

  /** Returns how many calls with a request's identifier the services executed. */
  long serviceExecutions(String requestId) {
    return serviceLog().stream()
        .filter(entry -> entry.path("request_id").asText().equals(requestId))
        .count();
  }

  /** Returns how many sequences of a request the engines started. */
  long engineStarts(String requestId) {
    return logs(engines).stream()
        .filter(entry -> entry.path("kind").asText().equals("STARTED"))
        .filter(entry -> entry.path("sequence").path("request").asText().equals(requestId))
        .count();
  }

  /** Returns the KV memory that all engines use now, in tokens. */
  long usedTokens() {
    return engines.stream()
        .mapToLong(engine -> get(engine, "/usage").path("used_tokens").asLong())
        .sum();
  }

  /** Sets a fault at every replica of the service. */
  void setServiceFault(String operation, String fault) {
    String body = String.format("{\"operation\":\"%s\",\"fault\":\"%s\"}", operation, fault);
    for (String service : services) {
      send(
          HttpRequest.newBuilder(URI.create("http://" + service + "/faults"))
              .timeout(PATIENCE)
              .POST(HttpRequest.BodyPublishers.ofString(body))
              .build());
    }
  }

  /** Returns whether a daemon says that it takes requests. */
  boolean isReady(String operators) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + operators + "/ready"))
              .timeout(PATIENCE)
              .build();
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException notYet) {
      return false;
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns a daemon's status. */
  JsonNode status(String operators) {
    return get(operators, "/status");
  }

  private List<JsonNode> serviceLog() {
    return logs(services);
  }

  private List<JsonNode> logs(List<String> addresses) {
    List<JsonNode> entries = new ArrayList<>();
    addresses.forEach(address -> get(address, "/log").forEach(entries::add));
    return entries;
  }

  private JsonNode get(String address, String path) {
    return send(
        HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(PATIENCE).build());
  }

  private JsonNode send(HttpRequest request) {
    try {
      return MAPPER.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interruption);
    }
  }
}
