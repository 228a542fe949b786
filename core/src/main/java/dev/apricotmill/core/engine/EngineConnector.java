package dev.apricotmill.core.engine;

import dev.apricotmill.core.configuration.Replica;

/** Gives the port to an engine. */
public interface EngineConnector {

  /** Returns the engine of a replica; connections are kept behind it. */
  ModelEngine connect(Replica replica);
}
