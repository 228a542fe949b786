package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Function;

/** Writes the entries of a configuration as JSON, always with the same fields in the same order. */
final class EntryWriter {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private EntryWriter() {}

  static ObjectNode customer(Customer customer) {
    ObjectNode node =
        NODES
            .objectNode()
            .put("id", customer.id().value())
            .put("keyHash", customer.keyHash())
            .put("weight", customer.weight())
            .put("priority", customer.priority().name());
    node.putObject("limits")
        .put("requestsPerSecond", customer.limits().requestsPerSecond())
        .put("promptTokensPerSecond", customer.limits().promptTokensPerSecond())
        .put("openRequests", customer.limits().openRequests());
    return node;
  }

  static ObjectNode service(Service service) {
    ServiceKind kind = ServiceKind.of(service);
    ObjectNode node =
        NODES.objectNode().put("kind", kind.name()).put("name", service.name().value());
    node.set("replicas", array(service.replicas(), EntryWriter::replica));
    kind.write(service, node);
    return node;
  }

  private static ObjectNode replica(Replica replica) {
    return NODES
        .objectNode()
        .put("id", replica.id().value())
        .put("zone", replica.zone().name())
        .put("address", replica.address().toString())
        .put("machine", replica.machine());
  }

  static ObjectNode rule(Rule rule) {
    return NODES
        .objectNode()
        .put("service", rule.service().value())
        .put("method", rule.method())
        .put("pathPrefix", rule.pathPrefix())
        .put("access", rule.access().name())
        .put("repetition", rule.repetition().name())
        .put("timeLimit", rule.timeLimit().toString());
  }

  static ObjectNode plannedStop(PlannedStop stop) {
    return NODES
        .objectNode()
        .put("machine", stop.machine())
        .put("from", stop.from().toString())
        .put("until", stop.until().toString());
  }

  static <T> ArrayNode array(Iterable<T> values, Function<T, ? extends JsonNode> writer) {
    ArrayNode array = NODES.arrayNode();
    values.forEach(value -> array.add(writer.apply(value)));
    return array;
  }
}
