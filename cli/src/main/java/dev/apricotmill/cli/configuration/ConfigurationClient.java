package dev.apricotmill.cli.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.CommonOptions;
import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.coordination.configuration.BundleResult;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.coordination.configuration.ConfigurationChange;
import dev.apricotmill.coordination.configuration.ConfigurationHead;
import dev.apricotmill.coordination.configuration.ConfigurationStore;
import dev.apricotmill.coordination.configuration.HeadResult;
import dev.apricotmill.coordination.configuration.HistoryResult;
import dev.apricotmill.coordination.configuration.PartContent;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationCodec;
import dev.apricotmill.core.configuration.DecodeResult;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.stream.Collectors;

/** Reads and proposes configurations at the platform. */
public final class ConfigurationClient {
  private final CommandContext context;
  private final ConfigurationStore store;

  /** Makes a client whose calls keep to the timeout of the options. */
  public ConfigurationClient(CommandContext context, Platform platform, CommonOptions options) {
    WriterSettings defaults = WriterSettings.defaults();
    WriterSettings settings =
        new WriterSettings(options.timeout(), defaults.resolveTimeout(), defaults.backoff());
    this.context = context;
    this.store = new ConfigurationStore(context.timing(), platform, settings, new SecureRandom());
  }

  /** Reads the configuration that stands now, an empty one if there is none. */
  public StoredConfiguration readCurrent() {
    HeadResult result = context.await(store.readHead());
    return result instanceof HeadResult.None
        ? new StoredConfiguration.Present(Optional.empty(), Configuration.NONE)
        : load(result);
  }

  /** Reads the configuration of one generation. */
  public StoredConfiguration read(long generation) {
    HeadResult result = context.await(store.readGeneration(generation));
    if (result instanceof HeadResult.None) {
      return new StoredConfiguration.Failed(
          Failure.Kind.UNKNOWN_GENERATION.report(
              "there is no generation " + generation,
              "apricotmill config history lists those that are kept"));
    }
    return load(result);
  }

  /** Reads the newest heads. */
  public HistoryResult history(int limit) {
    return context.await(store.history(limit));
  }

  /** Proposes a configuration; one whose answer was lost may be proposed again unchanged. */
  public ChangeResult propose(
      Configuration configuration, long expectedGeneration, String author, String changeId) {
    ImmutableMap<String, PartContent> parts =
        ImmutableMap.copyOf(
            Maps.transformValues(ConfigurationCodec.encode(configuration), PartContent::copyOf));
    return context.await(
        store.propose(new ConfigurationChange(expectedGeneration, parts, author, changeId)));
  }

  /** Returns the failure to tell when the platform gave no usable answer to a read. */
  public static Failure unavailable(PlatformFailure failure) {
    return Failure.Kind.PLATFORM_UNAVAILABLE.report(
        "the platform gave no usable answer (" + failure + "); nothing was changed",
        "check the address and try again; daemons go on with the configuration they have");
  }

  private StoredConfiguration load(HeadResult result) {
    if (!(result instanceof HeadResult.Found found)) {
      PlatformFailure failure =
          result instanceof HeadResult.Unavailable unavailable
              ? unavailable.failure()
              : PlatformFailure.MALFORMED_ANSWER;
      return new StoredConfiguration.Failed(unavailable(failure));
    }
    BundleResult bundle = context.await(store.load(found.head()));
    if (bundle instanceof BundleResult.Loaded loaded) {
      return decode(found.head(), loaded);
    }
    if (bundle instanceof BundleResult.PartUnusable missing) {
      return new StoredConfiguration.Failed(
          Failure.Kind.UNREADABLE_CONFIGURATION.report(
              "part " + missing.partName() + " of " + HeadSummary.of(found.head()) + " is missing",
              "apply the configuration file again"));
    }
    return new StoredConfiguration.Failed(
        unavailable(((BundleResult.Unavailable) bundle).failure()));
  }

  private static StoredConfiguration decode(ConfigurationHead head, BundleResult.Loaded loaded) {
    ImmutableMap<String, byte[]> parts =
        ImmutableMap.copyOf(
            Maps.transformValues(loaded.bundle().parts(), PartContent::toByteArray));
    DecodeResult result = ConfigurationCodec.decode(head.generation(), parts);
    if (result instanceof DecodeResult.Decoded decoded) {
      return new StoredConfiguration.Present(
          Optional.of(HeadSummary.of(head)), decoded.configuration());
    }
    ImmutableList<FaultLine> faults = FaultLine.of(((DecodeResult.Faulty) result).faults());
    return new StoredConfiguration.Failed(
        Failure.Kind.UNREADABLE_CONFIGURATION.report(
            HeadSummary.of(head)
                + " can't be read by this program: "
                + faults.stream().map(FaultLine::message).collect(Collectors.joining("; ")),
            "use the program of the version that wrote it, or apply the file again"));
  }
}
