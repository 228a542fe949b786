package dev.apricotmill.daemon.process;

import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.engine.EngineConnector;
import dev.apricotmill.core.service.PlainService;

/**
 * The interfaces to systems other than daemons.
 *
 * @param platform the platform's object store
 * @param engines the connector to model engines
 * @param services the client of plain services
 */
public record ExternalDependencies(
    Platform platform, EngineConnector engines, PlainService services) {}
