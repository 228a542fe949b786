package dev.apricotmill.daemon.settings;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.Ints;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.protocol.TlsFiles;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Validates every flag and collects all faults. */
final class SettingsCheck {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,63}");
  private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
  private static final int MAXIMUM_PORT = 0xFFFF;
  private static final int MINIMUM_HEADER_BYTES = 1 << 10;
  private static final int MAXIMUM_HEADER_BYTES = 1 << 20;
  private static final int MINIMUM_BODY_BYTES = 1 << 10;
  private static final int MAXIMUM_BODY_BYTES = 20 << 20;
  private static final int MAXIMUM_BUFFERED_BYTES = 1 << 30;
  private static final int MAXIMUM_COUNT = 1_000_000;
  private static final Duration ONE_DAY = Duration.ofDays(1);

  private final SettingFlags flags;
  private final ImmutableList.Builder<SettingFault> faults = ImmutableList.builder();
  private final Set<InetSocketAddress> usedListenAddresses = new HashSet<>();

  SettingsCheck(SettingFlags flags) {
    this.flags = flags;
  }

  /** Returns the settings if all are valid, otherwise all faults. */
  SettingsResult check() {
    for (String argument : flags.positionalArguments()) {
      addFault("command line", FaultKind.NOT_UNDERSTOOD, argument, "");
    }
    Optional<DaemonSettings> settings = Optional.of(readAll());
    ImmutableList<SettingFault> collected = faults.build();
    return collected.isEmpty()
        ? new SettingsResult.Valid(settings.orElseThrow())
        : new SettingsResult.Invalid(collected);
  }

  private DaemonSettings readAll() {
    DaemonId daemon = new DaemonId(name("--daemon-name", flags.daemonName()));
    Zone zone = new Zone(name("--zone", flags.zone()));
    InetSocketAddress publicAddress =
        listenAddress("--public", flags.publicAddress(), flags.publicPort());
    InetSocketAddress innerAddress =
        listenAddress("--inner", flags.innerAddress(), flags.innerPort());
    InetSocketAddress operatorsAddress =
        listenAddress("--operators", flags.operatorsAddress(), flags.operatorsPort());
    PeerAddress platform = platform();
    CallerLimits limits = callerLimits();
    Duration defaultLimit = seconds("--default-time-limit", flags.defaultTimeLimit(), ONE_DAY);
    Duration maximumLimit = seconds("--maximum-time-limit", flags.maximumTimeLimit(), ONE_DAY);
    if (defaultLimit.compareTo(maximumLimit) > 0) {
      addFault("--default-time-limit", FaultKind.ABOVE_MAXIMUM, flags.defaultTimeLimit(), "");
    }
    return new DaemonSettings(
        daemon,
        zone,
        publicAddress,
        innerAddress,
        operatorsAddress,
        platform,
        limits,
        defaultLimit,
        maximumLimit,
        seconds("--drain-time", flags.drainTime(), ONE_DAY),
        otlpEndpoint(),
        innerTls(),
        operatorTokenHash(),
        logLevel());
  }

  private CallerLimits callerLimits() {
    return new CallerLimits(
        number(
            "--maximum-header-bytes",
            flags.maximumHeaderBytes(),
            MINIMUM_HEADER_BYTES,
            MAXIMUM_HEADER_BYTES),
        number(
            "--maximum-body-bytes",
            flags.maximumBodyBytes(),
            MINIMUM_BODY_BYTES,
            MAXIMUM_BODY_BYTES),
        number(
            "--maximum-buffered-bytes",
            flags.maximumBufferedBytes(),
            MINIMUM_BODY_BYTES,
            MAXIMUM_BUFFERED_BYTES),
        number("--maximum-connections", flags.maximumConnections(), 1, MAXIMUM_COUNT),
        number("--maximum-open-requests", flags.maximumOpenRequests(), 1, MAXIMUM_COUNT),
        seconds("--read-timeout", flags.readTimeout(), ONE_DAY));
  }

  private String name(String flag, @Nullable String value) {
    if (value == null || value.isEmpty()) {
      addFault(flag, FaultKind.MISSING, "", "");
      return "missing";
    }
    if (!NAME.matcher(value).matches()) {
      addFault(flag, FaultKind.NOT_A_NAME, value, "");
    }
    return value;
  }

  private InetSocketAddress listenAddress(String prefix, String address, String portText) {
    String addressFlag = prefix + "-address";
    String portFlag = prefix + "-port";
    int port = number(portFlag, portText, 0, MAXIMUM_PORT);
    if (!InetAddresses.isInetAddress(address)) {
      addFault(addressFlag, FaultKind.NOT_AN_IP_NUMBER, address, "");
      return new InetSocketAddress(port);
    }
    InetSocketAddress socketAddress = new InetSocketAddress(InetAddresses.forString(address), port);
    if (port != 0 && !usedListenAddresses.add(socketAddress)) {
      addFault(portFlag, FaultKind.PORT_TAKEN_TWICE, portText, "");
    }
    return socketAddress;
  }

  private PeerAddress platform() {
    PeerAddress placeholder = new PeerAddress("127.0.0.1", 0);
    String text = flags.platformAddress();
    if (text == null || text.isEmpty()) {
      addFault("--platform-address", FaultKind.MISSING, "", "");
      return placeholder;
    }
    try {
      PeerAddress address = PeerAddress.parse(text);
      if (InetAddresses.isInetAddress(address.host()) && address.port() != 0) {
        return address;
      }
    } catch (IllegalArgumentException e) {
      addFault("--platform-address", FaultKind.NOT_AN_ADDRESS, text, "");
      return placeholder;
    }
    addFault("--platform-address", FaultKind.NOT_AN_ADDRESS, text, "");
    return placeholder;
  }

  private int number(String flag, String text, int minimum, int maximum) {
    Integer value = Ints.tryParse(text);
    if (value == null || value < minimum || value > maximum) {
      addFault(flag, FaultKind.NUMBER_OUT_OF_RANGE, text, minimum + " to " + maximum);
      return minimum;
    }
    return value;
  }

  private Duration seconds(String flag, String text, Duration maximum) {
    Optional<Duration> value = Seconds.parse(text);
    if (value.isEmpty() || value.get().isZero() || value.get().compareTo(maximum) > 0) {
      addFault(flag, FaultKind.SECONDS_OUT_OF_RANGE, text, "above 0 to " + maximum.toSeconds());
      return Duration.ofSeconds(1);
    }
    return value.get();
  }

  private Optional<URI> otlpEndpoint() {
    if (flags.otlpEndpoint().isEmpty()) {
      return Optional.empty();
    }
    try {
      URI uri = URI.create(flags.otlpEndpoint());
      if (uri.getHost() != null
          && ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))) {
        return Optional.of(uri);
      }
    } catch (IllegalArgumentException e) {
      addFault("--otlp-endpoint", FaultKind.NOT_A_URL, flags.otlpEndpoint(), "");
      return Optional.empty();
    }
    addFault("--otlp-endpoint", FaultKind.NOT_A_URL, flags.otlpEndpoint(), "");
    return Optional.empty();
  }

  private Optional<TlsFiles> innerTls() {
    if (flags.tlsCertificate().isEmpty()
        && flags.tlsKey().isEmpty()
        && flags.tlsAuthority().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new TlsFiles(
            file("--tls-certificate", flags.tlsCertificate()),
            file("--tls-key", flags.tlsKey()),
            file("--tls-authority", flags.tlsAuthority())));
  }

  private Path file(String flag, String text) {
    if (text.isEmpty()) {
      addFault(flag, FaultKind.INCOMPLETE, "", "");
      return Path.of("");
    }
    try {
      Path file = Path.of(text);
      if (Files.isReadable(file)) {
        return file;
      }
    } catch (InvalidPathException e) {
      addFault(flag, FaultKind.NOT_READABLE, text, "");
      return Path.of("");
    }
    addFault(flag, FaultKind.NOT_READABLE, text, "");
    return Path.of("");
  }

  private Optional<String> operatorTokenHash() {
    String hash = Ascii.toLowerCase(flags.operatorTokenHash());
    if (hash.isEmpty()) {
      return Optional.empty();
    }
    if (!SHA256_HEX.matcher(hash).matches()) {
      addFault("--operator-token-hash", FaultKind.NOT_A_HASH, hash, "");
    }
    return Optional.of(hash);
  }

  private Level logLevel() {
    try {
      Level level = Level.valueOf(flags.logLevel().toUpperCase(Locale.ROOT));
      if (level.compareTo(Level.DEBUG) >= 0 && level != Level.OFF) {
        return level;
      }
    } catch (IllegalArgumentException e) {
      addFault(
          "--log-level", FaultKind.NOT_A_CHOICE, flags.logLevel(), "ERROR, WARNING, INFO, DEBUG");
      return Level.INFO;
    }
    addFault(
        "--log-level", FaultKind.NOT_A_CHOICE, flags.logLevel(), "ERROR, WARNING, INFO, DEBUG");
    return Level.INFO;
  }

  private void addFault(String flag, FaultKind kind, String value, String range) {
    faults.add(new SettingFault(flag, kind, value, range));
  }
}
