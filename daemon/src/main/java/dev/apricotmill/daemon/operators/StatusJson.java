package dev.apricotmill.daemon.operators;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.node.api.NodeStatus;

/** Converts a daemon's status to JSON. */
final class StatusJson {

  private StatusJson() {}

  static ObjectNode of(NodeStatus status) {
    ObjectNode json =
        JsonNodeFactory.instance
            .objectNode()
            .put("daemon", status.self().daemon().name())
            .put("incarnation", status.self().number())
            .put("zone", status.zone().name())
            .put("phase", nameOf(status.phase()))
            .put("configuration_generation", status.configurationGeneration())
            .put("platform_reachable", status.platformReachable())
            .put("open_requests", status.openRequests());
    ArrayNode members = json.putArray("members");
    status.members().forEach(member -> members.add(of(member)));
    ArrayNode replicas = json.putArray("replicas");
    status.replicas().forEach(replica -> replicas.add(of(replica)));
    return json;
  }

  private static ObjectNode of(Member member) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("daemon", member.incarnation().daemon().name())
        .put("incarnation", member.incarnation().number())
        .put("zone", member.zone().name())
        .put("address", member.address().toString())
        .put("state", nameOf(member.state()));
  }

  private static ObjectNode of(NodeStatus.ReplicaStatus replica) {
    ReplicaLoad load = replica.load();
    return JsonNodeFactory.instance
        .objectNode()
        .put("replica", replica.replica().value())
        .put("steward", replica.steward())
        .put("usable", replica.usable())
        .put("memory_tokens", load.memoryTokens())
        .put("reserved_tokens", load.reservedTokens())
        .put("queued_requests", load.queuedRequests())
        .put("queued_prompt_tokens", load.queuedPromptTokens())
        .put("long_prompts", load.longPrompts())
        .put("time_to_first_token_seconds", load.timeToFirstToken().toMillis() / 1000.0);
  }

  private static String nameOf(Enum<?> constant) {
    return Ascii.toLowerCase(constant.name());
  }
}
