package dev.apricotmill.daemon.settings;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The flags as they were given, before any check; each keeps its text. */
final class SettingFlags {

  @Parameter(names = "--help", help = true, description = "print this help and exit")
  private boolean help;

  @Parameter(names = "--version", help = true, description = "print the version and exit")
  private boolean version;

  @Parameter(names = "--daemon-name", description = "name of this daemon, unique in the deployment")
  private @Nullable String daemonName;

  @Parameter(names = "--zone", description = "availability zone of this VM")
  private @Nullable String zone;

  @Parameter(names = "--public-address", description = "IP number of the callers' port")
  private String publicAddress = "127.0.0.1";

  @Parameter(names = "--public-port", description = "callers' port; 0 takes a free one")
  private String publicPort = "8080";

  @Parameter(names = "--inner-address", description = "IP number at which peers reach this daemon")
  private String innerAddress = "127.0.0.1";

  @Parameter(names = "--inner-port", description = "port for peers; 0 takes a free one")
  private String innerPort = "7070";

  @Parameter(names = "--operators-address", description = "IP number of the operators' port")
  private String operatorsAddress = "127.0.0.1";

  @Parameter(names = "--operators-port", description = "operators' port; 0 takes a free one")
  private String operatorsPort = "9090";

  @Parameter(names = "--platform-address", description = "IP:port of the platform's object API")
  private @Nullable String platformAddress;

  @Parameter(
      names = "--maximum-header-bytes",
      description = "largest header of a caller's request in bytes")
  private String maximumHeaderBytes = "16384";

  @Parameter(
      names = "--maximum-body-bytes",
      description = "largest body of a caller's request in bytes")
  private String maximumBodyBytes = "8388608";

  @Parameter(
      names = "--maximum-buffered-bytes",
      description = "bytes of bodies that all open requests may hold together")
  private String maximumBufferedBytes = "134217728";

  @Parameter(names = "--maximum-connections", description = "connections that callers may open")
  private String maximumConnections = "1024";

  @Parameter(
      names = "--maximum-open-requests",
      description = "requests that callers may have open at once")
  private String maximumOpenRequests = "512";

  @Parameter(
      names = "--read-timeout",
      description = "seconds in which a caller must have sent a whole request")
  private String readTimeout = "30";

  @Parameter(
      names = "--default-time-limit",
      description = "seconds for requests that name no time limit")
  private String defaultTimeLimit = "60";

  @Parameter(
      names = "--maximum-time-limit",
      description = "longest time limit in seconds that a caller may ask for")
  private String maximumTimeLimit = "3600";

  @Parameter(
      names = "--drain-time",
      description = "seconds that open requests get to finish after SIGTERM")
  private String drainTime = "60";

  @Parameter(names = "--otlp-endpoint", description = "URL to which spans are sent; none if empty")
  private String otlpEndpoint = "";

  @Parameter(
      names = "--operator-token-hash",
      description = "SHA-256 in hexadecimal of the operators' token; none is asked for if empty")
  private String operatorTokenHash = "";

  @Parameter(
      names = "--tls-certificate",
      description = "PEM file of the inner port's certificate chain; in clear if empty")
  private String tlsCertificate = "";

  @Parameter(
      names = "--tls-key",
      description = "PEM file of the certificate's key, as unencrypted PKCS #8")
  private String tlsKey = "";

  @Parameter(
      names = "--tls-authority",
      description = "PEM file of the authority that signs all daemons' certificates")
  private String tlsAuthority = "";

  @Parameter(names = "--log-level", description = "ERROR, WARNING, INFO or DEBUG")
  private String logLevel = "INFO";

  @Parameter(description = "no arguments without a flag are taken", hidden = true)
  private List<String> positionalArguments = new ArrayList<>();

  boolean help() {
    return help;
  }

  boolean version() {
    return version;
  }

  @Nullable String daemonName() {
    return daemonName;
  }

  @Nullable String zone() {
    return zone;
  }

  String publicAddress() {
    return publicAddress;
  }

  String publicPort() {
    return publicPort;
  }

  String innerAddress() {
    return innerAddress;
  }

  String innerPort() {
    return innerPort;
  }

  String operatorsAddress() {
    return operatorsAddress;
  }

  String operatorsPort() {
    return operatorsPort;
  }

  @Nullable String platformAddress() {
    return platformAddress;
  }

  String maximumHeaderBytes() {
    return maximumHeaderBytes;
  }

  String maximumBodyBytes() {
    return maximumBodyBytes;
  }

  String maximumBufferedBytes() {
    return maximumBufferedBytes;
  }

  String maximumConnections() {
    return maximumConnections;
  }

  String maximumOpenRequests() {
    return maximumOpenRequests;
  }

  String readTimeout() {
    return readTimeout;
  }

  String defaultTimeLimit() {
    return defaultTimeLimit;
  }

  String maximumTimeLimit() {
    return maximumTimeLimit;
  }

  String drainTime() {
    return drainTime;
  }

  String otlpEndpoint() {
    return otlpEndpoint;
  }

  String operatorTokenHash() {
    return operatorTokenHash;
  }

  String tlsCertificate() {
    return tlsCertificate;
  }

  String tlsKey() {
    return tlsKey;
  }

  String tlsAuthority() {
    return tlsAuthority;
  }

  String logLevel() {
    return logLevel;
  }

  List<String> positionalArguments() {
    return positionalArguments;
  }
}
