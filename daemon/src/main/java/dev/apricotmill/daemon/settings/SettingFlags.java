package dev.apricotmill.daemon.settings;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The flags as they were given, before any check; each keeps its text. */
final class SettingFlags {

  @Parameter(names = "--help", help = true, description = "print this help and exit")
  boolean help;

  @Parameter(names = "--version", help = true, description = "print the version and exit")
  boolean version;

  @Parameter(names = "--daemon-name", description = "name of this daemon, unique in the deployment")
  @Nullable String daemonName;

  @Parameter(names = "--zone", description = "availability zone of this VM")
  @Nullable String zone;

  @Parameter(names = "--public-address", description = "IP number of the callers' port")
  String publicAddress = "127.0.0.1";

  @Parameter(names = "--public-port", description = "callers' port; 0 takes a free one")
  String publicPort = "8080";

  @Parameter(names = "--inner-address", description = "IP number at which peers reach this daemon")
  String innerAddress = "127.0.0.1";

  @Parameter(names = "--inner-port", description = "port for peers; 0 takes a free one")
  String innerPort = "7070";

  @Parameter(names = "--operators-address", description = "IP number of the operators' port")
  String operatorsAddress = "127.0.0.1";

  @Parameter(names = "--operators-port", description = "operators' port; 0 takes a free one")
  String operatorsPort = "9090";

  @Parameter(names = "--platform-address", description = "IP:port of the platform's object API")
  @Nullable String platformAddress;

  @Parameter(
      names = "--maximum-header-bytes",
      description = "largest header of a caller's request in bytes")
  String maximumHeaderBytes = "16384";

  @Parameter(
      names = "--maximum-body-bytes",
      description = "largest body of a caller's request in bytes")
  String maximumBodyBytes = "8388608";

  @Parameter(
      names = "--maximum-buffered-bytes",
      description = "bytes of bodies that all open requests may hold together")
  String maximumBufferedBytes = "134217728";

  @Parameter(names = "--maximum-connections", description = "connections that callers may open")
  String maximumConnections = "1024";

  @Parameter(
      names = "--maximum-open-requests",
      description = "requests that callers may have open at once")
  String maximumOpenRequests = "512";

  @Parameter(
      names = "--read-timeout",
      description = "seconds in which a caller must have sent a whole request")
  String readTimeout = "30";

  @Parameter(
      names = "--default-time-limit",
      description = "seconds for requests that name no time limit")
  String defaultTimeLimit = "60";

  @Parameter(
      names = "--maximum-time-limit",
      description = "longest time limit in seconds that a caller may ask for")
  String maximumTimeLimit = "3600";

  @Parameter(
      names = "--drain-time",
      description = "seconds that open requests get to finish after SIGTERM")
  String drainTime = "60";

  @Parameter(names = "--otlp-endpoint", description = "URL to which spans are sent; none if empty")
  String otlpEndpoint = "";

  @Parameter(names = "--log-level", description = "ERROR, WARNING, INFO or DEBUG")
  String logLevel = "INFO";

  @Parameter(description = "no arguments without a flag are taken", hidden = true)
  List<String> rest = new ArrayList<>();
}
