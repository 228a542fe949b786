package dev.apricotmill.daemon.settings;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The unparsed text of each flag, before validation. */
final class SettingFlags {

  @Parameter(names = "--help", help = true, description = "print this help and exit")
  private boolean help;

  @Parameter(names = "--version", help = true, description = "print the version and exit")
  private boolean version;

  @Parameter(names = "--daemon-name", description = "name of this daemon, unique in the deployment")
  private @Nullable String daemonName;

  @Parameter(names = "--zone", description = "availability zone of this VM")
  private @Nullable String zone;

  @Parameter(names = "--public-address", description = "IP address of the public HTTP API")
  private String publicAddress = "127.0.0.1";

  @Parameter(
      names = "--public-port",
      description = "port of the public HTTP API; 0 selects a free one")
  private String publicPort = "8080";

  @Parameter(
      names = "--inner-address",
      description = "IP address at which other daemons reach this one")
  private String innerAddress = "127.0.0.1";

  @Parameter(names = "--inner-port", description = "port for other daemons; 0 selects a free one")
  private String innerPort = "7070";

  @Parameter(names = "--operators-address", description = "IP address of the operators' API")
  private String operatorsAddress = "127.0.0.1";

  @Parameter(
      names = "--operators-port",
      description = "port of the operators' API; 0 selects a free one")
  private String operatorsPort = "9090";

  @Parameter(names = "--platform-address", description = "IP:port of the platform's object API")
  private @Nullable String platformAddress;

  @Parameter(
      names = "--maximum-header-bytes",
      description = "maximum size of a request header in bytes")
  private String maximumHeaderBytes = "16384";

  @Parameter(
      names = "--maximum-body-bytes",
      description = "maximum size of a request body in bytes")
  private String maximumBodyBytes = "8388608";

  @Parameter(
      names = "--maximum-buffered-bytes",
      description = "maximum total of body bytes buffered for all open requests")
  private String maximumBufferedBytes = "134217728";

  @Parameter(
      names = "--maximum-connections",
      description = "maximum number of callers' open connections")
  private String maximumConnections = "1024";

  @Parameter(names = "--maximum-open-requests", description = "maximum number of open requests")
  private String maximumOpenRequests = "512";

  @Parameter(
      names = "--read-timeout",
      description = "seconds within which a complete request must arrive")
  private String readTimeout = "30";

  @Parameter(
      names = "--default-time-limit",
      description = "time limit in seconds of requests that set none")
  private String defaultTimeLimit = "60";

  @Parameter(
      names = "--maximum-time-limit",
      description = "longest time limit in seconds that a caller may set")
  private String maximumTimeLimit = "3600";

  @Parameter(
      names = "--drain-time",
      description = "seconds that open requests may take to finish after SIGTERM")
  private String drainTime = "60";

  @Parameter(
      names = "--otlp-endpoint",
      description = "URL to which spans are exported; none if empty")
  private String otlpEndpoint = "";

  @Parameter(
      names = "--operator-token-hash",
      description = "SHA-256 in hexadecimal of the operators' token; no token is required if empty")
  private String operatorTokenHash = "";

  @Parameter(
      names = "--tls-certificate",
      description = "PEM file of the certificate chain for other daemons; clear text if empty")
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

  @Parameter(description = "positional arguments are not accepted", hidden = true)
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
