package dev.apricotmill.node;

import dev.apricotmill.coordination.ledger.LedgerPeers;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.EngineConnector;
import dev.apricotmill.core.peer.StewardPeers;
import dev.apricotmill.core.service.PlainService;
import io.micrometer.core.instrument.MeterRegistry;
import io.opentelemetry.api.trace.Tracer;
import java.util.random.RandomGenerator;

/**
 * Everything outside that a node uses.
 *
 * @param timing time and the scheduler
 * @param platform the platform's store
 * @param probePeers probes of other daemons
 * @param stewardPeers forwards to other daemons
 * @param ledgerPeers the claims ledgers of other daemons
 * @param engines the model engines
 * @param services the plain services
 * @param random the source of random choices
 * @param meters where metrics are registered
 * @param tracer makes a span for each hop
 */
public record NodeDependencies(
    Timing timing,
    Platform platform,
    PeerProbes probePeers,
    StewardPeers stewardPeers,
    LedgerPeers ledgerPeers,
    EngineConnector engines,
    PlainService services,
    RandomGenerator random,
    MeterRegistry meters,
    Tracer tracer) {}
