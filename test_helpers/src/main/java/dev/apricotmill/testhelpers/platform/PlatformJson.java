package dev.apricotmill.testhelpers.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.testhelpers.http.StandInAnswer;

/** Reads and writes the JSON of the platform stand-in's API. */
final class PlatformJson {

  private static final JsonMapper MAPPER = new JsonMapper();

  private PlatformJson() {}

  static StandInAnswer write(WriteResult result) {
    if (result instanceof WriteResult.Written written) {
      return StandInAnswer.json(200, version(written.version()));
    }
    if (result instanceof WriteResult.Conflict conflict) {
      return StandInAnswer.json(412, version(conflict.currentVersion()));
    }
    throw new IllegalArgumentException("the store always knows: " + result);
  }

  private static String version(long version) {
    return "{\"version\":" + version + "}";
  }

  static StandInAnswer list(ImmutableList<StoredObject> objects, long revision) {
    ObjectNode body = MAPPER.createObjectNode().put("revision", revision);
    addAll(body.putArray("objects"), objects);
    return StandInAnswer.json(200, body.toString());
  }

  static StandInAnswer watch(WatchResult result) {
    if (!(result instanceof WatchResult.Changes changes)) {
      return StandInAnswer.json(410, "{\"error\":\"compacted\"}");
    }
    ObjectNode body = MAPPER.createObjectNode().put("revision", changes.revision());
    addAll(body.putArray("changed"), changes.changed());
    ArrayNode removed = body.putArray("removed");
    changes.removed().forEach(key -> removed.add(key.path()));
    return StandInAnswer.json(200, body.toString());
  }

  private static void addAll(ArrayNode array, ImmutableList<StoredObject> objects) {
    for (StoredObject object : objects) {
      array
          .addObject()
          .put("path", object.key().path())
          .put("version", object.version())
          .put("value", object.value());
    }
  }

  static StandInAnswer machines(ImmutableList<Machine> machines) {
    ObjectNode body = MAPPER.createObjectNode();
    ArrayNode array = body.putArray("machines");
    for (Machine machine : machines) {
      array
          .addObject()
          .put("name", machine.name())
          .put("role", machine.role().name())
          .put("zone", machine.zone().name())
          .put("address", machine.address())
          .put("state", machine.state().name());
    }
    return StandInAnswer.json(200, body.toString());
  }

  static ImmutableList<Machine> machines(JsonNode body) {
    ImmutableList.Builder<Machine> machines = ImmutableList.builder();
    for (JsonNode node : body.path("machines")) {
      machines.add(
          new Machine(
              node.path("name").asText(),
              Machine.Role.valueOf(node.path("role").asText()),
              new Zone(node.path("zone").asText()),
              node.path("address").asText(),
              Machine.State.valueOf(node.path("state").asText())));
    }
    return machines.build();
  }
}
