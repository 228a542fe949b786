package dev.apricotmill.daemon.settings;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.protocol.TlsFiles;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;

/**
 * The validated settings of a daemon.
 *
 * @param daemon its name
 * @param zone its availability zone
 * @param publicAddress the listen address of the public HTTP API
 * @param innerAddress the listen address for other daemons
 * @param operatorsAddress the listen address of the operators' API
 * @param platform the address of the platform's object API
 * @param limits limits on callers' connections and requests
 * @param defaultTimeLimit the time limit of requests that do not set one
 * @param maximumTimeLimit the longest time limit that a caller may set
 * @param drainTime how long open requests may take to finish after SIGTERM
 * @param otlpEndpoint the URL to which spans are exported, empty for no export
 * @param innerTls the certificates for connections between daemons, which are in clear text if
 *     absent
 * @param operatorTokenHash SHA-256 in hexadecimal of the operators' token, empty if none is
 *     required
 * @param logLevel the lowest level that is logged
 */
public record DaemonSettings(
    DaemonId daemon,
    Zone zone,
    InetSocketAddress publicAddress,
    InetSocketAddress innerAddress,
    InetSocketAddress operatorsAddress,
    PeerAddress platform,
    CallerLimits limits,
    Duration defaultTimeLimit,
    Duration maximumTimeLimit,
    Duration drainTime,
    Optional<URI> otlpEndpoint,
    Optional<TlsFiles> innerTls,
    Optional<String> operatorTokenHash,
    Level logLevel) {}
