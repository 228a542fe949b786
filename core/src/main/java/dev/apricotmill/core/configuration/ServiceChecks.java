package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Range;
import com.google.common.collect.Sets;
import com.google.common.net.InetAddresses;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/** Checks names, replicas, zones, engine profiles and key policies of all services. */
final class ServiceChecks {
  private final FaultCollector faults;
  private final ImmutableSortedSet<Zone> allZones;
  private final Set<ServiceName> names = new HashSet<>();
  private final Set<ReplicaId> replicaIds = new HashSet<>();
  private final Set<PeerAddress> addresses = new HashSet<>();

  private ServiceChecks(FaultCollector faults, ImmutableSortedSet<Zone> allZones) {
    this.faults = faults;
    this.allZones = allZones;
  }

  static void check(ConfigurationDraft draft, FaultCollector faults) {
    ImmutableSortedSet<Zone> zones =
        draft.services().stream()
            .flatMap(located -> located.value().replicas().stream())
            .map(Replica::zone)
            .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    ServiceChecks checks = new ServiceChecks(faults, zones);
    draft.services().forEach(located -> checks.check(located.value(), located.pointer()));
  }

  private void check(Service service, String pointer) {
    EntryChecks.checkName(service.name().value(), pointer + "/name", faults);
    if (!names.add(service.name())) {
      faults.add(pointer + "/name", Kind.DUPLICATE, service.name().value());
    }
    for (int index = 0; index < service.replicas().size(); index++) {
      checkReplica(service.replicas().get(index), pointer + "/replicas/" + index);
    }
    checkZones(service, pointer);
    if (service instanceof Service.ModelPool pool) {
      checkProfile(pool.profile(), pointer + "/profile");
    } else if (service instanceof Service.PlainPool pool) {
      EntryChecks.checkRange(
          pool.keyPolicy().window(),
          windowRange(pool.keyPolicy().form()),
          pointer + "/keyPolicy/window",
          faults);
    }
  }

  private void checkReplica(Replica replica, String pointer) {
    EntryChecks.checkName(replica.id().value(), pointer + "/id", faults);
    EntryChecks.checkName(replica.zone().name(), pointer + "/zone", faults);
    EntryChecks.checkName(replica.machine(), pointer + "/machine", faults);
    if (!replicaIds.add(replica.id())) {
      faults.add(pointer + "/id", Kind.DUPLICATE, replica.id().value());
    }
    checkAddress(replica.address(), pointer + "/address");
  }

  private void checkAddress(PeerAddress address, String pointer) {
    if (!InetAddresses.isUriInetAddress(address.host())) {
      faults.add(pointer, Kind.NOT_AN_IP_NUMBER, address.host());
    }
    EntryChecks.checkRange(address.port(), ConfigurationLimits.PORT, pointer, faults);
    if (!addresses.add(address)) {
      faults.add(pointer, Kind.DUPLICATE_ADDRESS, address.toString());
    }
  }

  private void checkZones(Service service, String pointer) {
    if (service.replicas().isEmpty()) {
      faults.add(pointer + "/replicas", Kind.NO_REPLICA, service.name().value());
      return;
    }
    Set<Zone> zones = new HashSet<>();
    service.replicas().forEach(replica -> zones.add(replica.zone()));
    Collection<Zone> missing = Sets.difference(allZones, zones);
    missing.forEach(
        zone -> faults.add(pointer + "/replicas", Kind.ZONE_WITHOUT_REPLICA, zone.name()));
  }

  private void checkProfile(EngineProfile profile, String pointer) {
    EntryChecks.checkRange(
        profile.memoryTokens(),
        ConfigurationLimits.MEMORY_TOKENS,
        pointer + "/memoryTokens",
        faults);
    EntryChecks.checkRange(
        profile.prefillTokensPerSecond(),
        ConfigurationLimits.PREFILL_TOKENS_PER_SECOND,
        pointer + "/prefillTokensPerSecond",
        faults);
    EntryChecks.checkRange(
        profile.decodeTokensPerSecond(),
        ConfigurationLimits.DECODE_TOKENS_PER_SECOND,
        pointer + "/decodeTokensPerSecond",
        faults);
    EntryChecks.checkRange(
        profile.maximumSequences(),
        ConfigurationLimits.MAXIMUM_SEQUENCES,
        pointer + "/maximumSequences",
        faults);
  }

  private static Range<Duration> windowRange(KeyPolicy.Form form) {
    return form == KeyPolicy.Form.TIMED
        ? ConfigurationLimits.TIMED_KEY_WINDOW
        : ConfigurationLimits.OPAQUE_KEY_WINDOW;
  }
}
