package dev.apricotmill.benchmarks.slopes;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationCodec;
import dev.apricotmill.core.configuration.DecodeResult;
import dev.apricotmill.node.fleet.FleetAssembler;
import dev.apricotmill.node.fleet.FleetView;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;

/** What a daemon pays for a configuration of many customers: bytes, decoding, heap. */
final class CustomerSlope {

  private static final int REPLICAS = 600;
  private static final int WARM_UPS = 5;
  private static final int ROUNDS = 5;
  private static final MembershipView NOBODY = new MembershipView(ImmutableSortedMap.of());

  private CustomerSlope() {}

  static void print(PrintStream out, List<Integer> sizes) {
    out.println("Customers: one configuration with 600 replicas");
    out.printf(
        "%10s %12s %14s %16s %14s %12s%n",
        "customers", "parts KiB", "largest KiB", "full decode ms", "assemble ms", "heap KiB");
    for (int size : sizes) {
      measure(out, size);
    }
  }

  private static void measure(PrintStream out, int customers) {
    ImmutableMap<String, byte[]> parts =
        ConfigurationCodec.encode(FleetConfiguration.of(REPLICAS, customers));
    long total = parts.values().stream().mapToLong(part -> part.length).sum();
    long largest = parts.values().stream().mapToLong(part -> part.length).max().orElse(0);
    for (int round = 0; round < WARM_UPS; round++) {
      assemble(decode(parts, 1));
    }
    long decodeNanos = 0;
    long assembleNanos = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long start = Cost.processorNanos();
      Configuration decoded = decode(parts, 1);
      long middle = Cost.processorNanos();
      assemble(decoded);
      decodeNanos += middle - start;
      assembleNanos += Cost.processorNanos() - middle;
    }
    long before = Cost.usedBytes();
    FleetView held = assemble(decode(parts, 1));
    long heap = Cost.usedBytes() - before;
    out.printf(
        "%10d %12d %14d %16.1f %14.1f %12d%n",
        held.customersByKeyHash().size(),
        total / 1024,
        largest / 1024,
        decodeNanos / 1e6 / ROUNDS,
        assembleNanos / 1e6 / ROUNDS,
        heap / 1024);
  }

  private static Configuration decode(ImmutableMap<String, byte[]> parts, long generation) {
    DecodeResult result = ConfigurationCodec.decode(generation, parts);
    if (result instanceof DecodeResult.Decoded decoded) {
      return decoded.configuration();
    }
    throw new IllegalStateException("the configuration cannot be decoded");
  }

  private static FleetView assemble(Configuration configuration) {
    return FleetAssembler.assemble(
        configuration, NOBODY, ImmutableSet.of(), Instant.EPOCH, FleetView.EMPTY);
  }
}
