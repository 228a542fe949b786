package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ServiceName;

/** The kinds of services in JSON. Each kind reads and writes the fields that only it has. */
enum ServiceKind {
  /** A pool of model engines. */
  MODEL_POOL {
    @Override
    Service read(JsonFields fields, ServiceName name, ImmutableList<Replica> replicas) {
      JsonFields profileFields = fields.object("profile");
      EngineProfile profile =
          new EngineProfile(
              profileFields.longInteger("memoryTokens"),
              profileFields.number("prefillTokensPerSecond"),
              profileFields.number("decodeTokensPerSecond"),
              profileFields.integer("maximumSequences"));
      profileFields.finish();
      return new Service.ModelPool(name, replicas, profile, fields.flag("checksFencing"));
    }

    @Override
    void write(Service service, ObjectNode node) {
      Service.ModelPool pool = (Service.ModelPool) service;
      node.putObject("profile")
          .put("memoryTokens", pool.profile().memoryTokens())
          .put("prefillTokensPerSecond", pool.profile().prefillTokensPerSecond())
          .put("decodeTokensPerSecond", pool.profile().decodeTokensPerSecond())
          .put("maximumSequences", pool.profile().maximumSequences());
      node.put("checksFencing", pool.checksFencing());
    }
  },
  /** A plain service. */
  PLAIN {
    @Override
    Service read(JsonFields fields, ServiceName name, ImmutableList<Replica> replicas) {
      JsonFields policyFields = fields.object("keyPolicy");
      KeyPolicy policy =
          new KeyPolicy(
              policyFields.enumValue("form", KeyPolicy.Form.class),
              policyFields.duration("window"));
      policyFields.finish();
      return new Service.PlainPool(name, replicas, policy);
    }

    @Override
    void write(Service service, ObjectNode node) {
      Service.PlainPool pool = (Service.PlainPool) service;
      node.putObject("keyPolicy")
          .put("form", pool.keyPolicy().form().name())
          .put("window", pool.keyPolicy().window().toString());
    }
  };

  /** Reads the fields that only this kind has. */
  abstract Service read(JsonFields fields, ServiceName name, ImmutableList<Replica> replicas);

  /** Writes the fields that only this kind has. */
  abstract void write(Service service, ObjectNode node);

  static ServiceKind of(Service service) {
    return service instanceof Service.ModelPool ? MODEL_POOL : PLAIN;
  }
}
