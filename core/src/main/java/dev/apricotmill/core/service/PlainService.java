package dev.apricotmill.core.service;

import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.request.ServiceCall;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/** The port to plain services. Stages complete normally within the timeout. */
public interface PlainService {

  /** Calls the service at a replica. */
  CompletionStage<CallResult> call(Replica replica, ServiceCall call, Duration timeout);
}
