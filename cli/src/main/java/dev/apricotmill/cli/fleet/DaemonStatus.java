package dev.apricotmill.cli.fleet;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * What a daemon says of itself on its operators' port.
 *
 * @param daemon its name
 * @param incarnation the number of its current life
 * @param zone its availability zone
 * @param phase whether it takes requests
 * @param configurationGeneration the generation in force there
 * @param platformReachable whether the platform answered it lately
 * @param openRequests requests that callers wait for
 * @param replicas the replicas of its zone as it sees them
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record DaemonStatus(
    @JsonProperty(value = "daemon", required = true) String daemon,
    @JsonProperty(value = "incarnation", required = true) long incarnation,
    @JsonProperty(value = "zone", required = true) String zone,
    @JsonProperty(value = "phase", required = true) Phase phase,
    @JsonProperty(value = "configuration_generation", required = true) long configurationGeneration,
    @JsonProperty(value = "platform_reachable", required = true) boolean platformReachable,
    @JsonProperty(value = "open_requests", required = true) int openRequests,
    @JsonProperty(value = "replicas", required = true) ImmutableList<ReplicaStatus> replicas) {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .addModule(new GuavaModule())
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .build();

  /** Whether a daemon takes requests. */
  public enum Phase {
    /** It has not yet learned the configuration in force. */
    STARTING,
    /** It takes requests. */
    READY,
    /** It finishes open requests and takes no new ones. */
    DRAINING,
    /** All requests have ended. */
    DRAINED
  }

  /**
   * One replica as a daemon sees it.
   *
   * @param replica the replica
   * @param steward the daemon that owns it
   * @param usable whether it may get new work
   * @param memoryTokens its KV memory in tokens
   * @param reservedTokens KV memory reserved by running requests
   * @param queuedRequests requests that wait
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ReplicaStatus(
      @JsonProperty(value = "replica", required = true) String replica,
      @JsonProperty(value = "steward", required = true) String steward,
      @JsonProperty(value = "usable", required = true) boolean usable,
      @JsonProperty(value = "memory_tokens", required = true) long memoryTokens,
      @JsonProperty(value = "reserved_tokens", required = true) long reservedTokens,
      @JsonProperty(value = "queued_requests", required = true) int queuedRequests) {}

  /** Reads a daemon's answer, or nothing if it is not a status. */
  static Optional<DaemonStatus> parse(String body) {
    try {
      return Optional.ofNullable(MAPPER.readValue(body, DaemonStatus.class));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
