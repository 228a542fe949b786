package dev.apricotmill.testhelpers.engine;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.engine.EngineConnector;
import dev.apricotmill.core.engine.ModelEngine;
import dev.apricotmill.core.request.ReplicaId;

/** Connects one simulated daemon to the fake engines of a deployment. */
public final class FakeEngines implements EngineConnector {

  private final ImmutableMap<ReplicaId, FakeEngine> engines;
  private final Timing client;

  /** Creates the connector of a daemon whose time is {@code client}. */
  public FakeEngines(ImmutableMap<ReplicaId, FakeEngine> engines, Timing client) {
    this.engines = engines;
    this.client = client;
  }

  @Override
  public ModelEngine connect(Replica replica) {
    FakeEngine engine = engines.get(replica.id());
    if (engine == null) {
      throw new IllegalArgumentException("no fake engine for replica " + replica.id());
    }
    return engine.portFor(client);
  }
}
