package dev.apricotmill.testhelpers.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
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

  /** Returns what all replicas of the service executed. */
  ImmutableList<JsonNode> serviceLog() {
    return logs(services);
  }

  /** Returns what happened at all engines. */
  ImmutableList<JsonNode> engineLog() {
    return logs(engines);
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

  private ImmutableList<JsonNode> logs(List<String> addresses) {
    ImmutableList.Builder<JsonNode> entries = ImmutableList.builder();
    addresses.forEach(address -> entries.addAll(get(address, "/log")));
    return entries.build();
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
