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
 * The checked settings of a daemon.
 *
 * @param daemon its name
 * @param zone its availability zone
 * @param publicAddress where callers connect
 * @param innerAddress where peers connect
 * @param operatorsAddress where operators connect
 * @param platform the platform's object API
 * @param limits bounds on what callers send
 * @param defaultTimeLimit the time limit of requests that name none
 * @param maximumTimeLimit the longest time limit that a caller may ask for
 * @param drainTime the time that open requests get to finish after SIGTERM
 * @param otlpEndpoint where spans are sent, if anywhere
 * @param innerTls the certificates of the inner port, in clear if absent
 * @param operatorTokenHash SHA-256 in hexadecimal of the operators' token, if one is asked for
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
