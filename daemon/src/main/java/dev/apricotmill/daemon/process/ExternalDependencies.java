package dev.apricotmill.daemon.process;

import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.engine.EngineConnector;
import dev.apricotmill.core.service.PlainService;

/**
 * The ports to everything that is no daemon.
 *
 * @param platform the platform's store
 * @param engines the model engines
 * @param services the plain services
 */
public record ExternalDependencies(
    Platform platform, EngineConnector engines, PlainService services) {}
