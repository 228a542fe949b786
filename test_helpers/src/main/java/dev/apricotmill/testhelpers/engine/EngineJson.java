package dev.apricotmill.testhelpers.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.engine.CacheEvents;
import dev.apricotmill.core.engine.EngineLoad;
import dev.apricotmill.core.engine.EngineOrder;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.EngineRole;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;

/** Reads and writes the JSON of the engine stand-in's API. */
final class EngineJson {

  private static final JsonMapper MAPPER = new JsonMapper();

  private EngineJson() {}

  static EngineRequest completion(JsonNode body) {
    JsonNode extension = body.path("apricotmill");
    return new EngineRequest(
        sequence(extension.path("sequence")),
        body.path("prompt").asText(),
        body.path("max_tokens").asInt(),
        body.path("priority").asInt(),
        Duration.ofMillis(extension.path("time_limit_ms").asLong()),
        extension.path("resume_at").asLong(),
        extension.path("generated_text").asText());
  }

  static SequenceId sequence(JsonNode node) {
    DaemonId daemon = new DaemonId(node.path("daemon").asText());
    return new SequenceId(
        new Incarnation(daemon, node.path("incarnation").asLong()),
        new RequestId(node.path("request").asText()),
        node.path("attempt").asInt());
  }

  private static ObjectNode sequence(SequenceId id) {
    return MAPPER
        .createObjectNode()
        .put("daemon", id.owner().daemon().name())
        .put("incarnation", id.owner().number())
        .put("request", id.request().value())
        .put("attempt", id.attempt());
  }

  static EngineOrder order(JsonNode body) {
    ImmutableSortedSet.Builder<String> adapters = ImmutableSortedSet.naturalOrder();
    body.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
    return new EngineOrder(
        body.path("fencing_number").asLong(),
        body.path("model").asText(),
        body.path("version").asText(),
        adapters.build(),
        EngineRole.valueOf(body.path("role").asText()));
  }

  static String load(EngineLoad load) {
    return MAPPER
        .createObjectNode()
        .put("memory_tokens", load.memoryTokens())
        .put("used_tokens", load.usedTokens())
        .put("running", load.running())
        .put("waiting", load.waiting())
        .put("model_version", load.modelVersion())
        .put("role", load.role().name())
        .toString();
  }

  static String held(HeldMemory held) {
    ObjectNode body = MAPPER.createObjectNode();
    ArrayNode sequences = body.putArray("sequences");
    for (HeldMemory.Sequence sequence : held.sequences()) {
      sequences
          .addObject()
          .put("tokens", sequence.tokens())
          .put("remaining_ms", sequence.remaining().toMillis())
          .set("sequence", sequence(sequence.id()));
    }
    ArrayNode exports = body.putArray("exports");
    for (HeldMemory.Export export : held.exports()) {
      exports
          .addObject()
          .put("export", export.id().value())
          .put("tokens", export.tokens())
          .put("age_ms", export.age().toMillis())
          .set("sequence", sequence(export.sequence()));
    }
    return body.toString();
  }

  static String cacheEvents(CacheEvents page) {
    ObjectNode body =
        MAPPER.createObjectNode().put("last_sequence", page.lastSequence()).put("gap", page.gap());
    ArrayNode events = body.putArray("events");
    for (CacheEvents.Event event : page.events()) {
      events.addObject().put("prefix", event.prefix().hash()).put("stored", event.stored());
    }
    return body.toString();
  }

  static String log(ImmutableList<EngineLogEntry> log) {
    ArrayNode entries = MAPPER.createArrayNode();
    for (EngineLogEntry entry : log) {
      ObjectNode node =
          entries
              .addObject()
              .put("at_ns", entry.atNanos())
              .put("kind", entry.kind().name())
              .put("tokens", entry.tokens());
      entry.sequence().ifPresent(id -> node.set("sequence", sequence(id)));
    }
    return entries.toString();
  }

  static String chunk(RequestId request, long position, String text) {
    ObjectNode body = completionObject(request);
    body.putArray("choices").addObject().put("index", 0).put("text", text).putNull("finish_reason");
    body.putObject("apricotmill").put("position", position).put("tokens", 1);
    return body.toString();
  }

  static String finish(RequestId request, long promptTokens, long outputTokens) {
    ObjectNode body = completionObject(request);
    body.putArray("choices")
        .addObject()
        .put("index", 0)
        .put("text", "")
        .put("finish_reason", "length");
    body.putObject("usage")
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", outputTokens);
    return body.toString();
  }

  private static ObjectNode completionObject(RequestId request) {
    return MAPPER.createObjectNode().put("id", request.value()).put("object", "text_completion");
  }
}
