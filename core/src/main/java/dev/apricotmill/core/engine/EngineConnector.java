package dev.apricotmill.core.engine;

import dev.apricotmill.core.configuration.Replica;

/** Connects to engines. */
public interface EngineConnector {

  /** Returns a client for the engine of a replica, which reuses its connections. */
  ModelEngine connect(Replica replica);
}
