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
 * The external services and shared objects that a node uses.
 *
 * @param timing time and the scheduler
 * @param platform client of the platform's store
 * @param probePeers sends probes to other daemons
 * @param stewardPeers forwards requests to the stewards of other daemons
 * @param ledgerPeers reaches the claims ledgers of other daemons
 * @param engines connects to the model engines
 * @param services calls the plain services
 * @param random the source of random choices
 * @param meters the registry of the metrics
 * @param tracer creates the span of each hop
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
