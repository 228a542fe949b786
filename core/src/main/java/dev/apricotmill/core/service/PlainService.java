package dev.apricotmill.core.service;

import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.request.ServiceCall;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Client interface to plain services. The returned stages complete within the timeout and never
 * complete exceptionally.
 */
public interface PlainService {

  /** Calls the service on a replica. */
  CompletionStage<CallResult> call(Replica replica, ServiceCall call, Duration timeout);
}
