package dev.apricotmill.adapters;

import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.engine.EngineConnector;
import dev.apricotmill.core.engine.ModelEngine;

/** Creates an HTTP adapter per engine; all adapters share one HTTP client and its connections. */
public final class HttpEngineConnector implements EngineConnector {

  private final HttpClients clients;

  /** Creates the connector on a shared client. */
  public HttpEngineConnector(HttpClients clients) {
    this.clients = clients;
  }

  @Override
  public ModelEngine connect(Replica replica) {
    return new HttpModelEngine(clients, replica.address());
  }
}
