package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.request.ReplicaId;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Updates the view of a node with what was read from the store or other nodes. Never goes back to
 * an older configuration.
 *
 * <p>Must be called on the relay's executor.
 */
public final class ServingState {

  private final RelayNode relay;
  private final LeavingServers leavingServers;
  private final EvacuatedZones evacuatedZones;
  private final EvacuationEffects evacuationEffects;
  private final EventLog log;
  private final Consumer<ServingView> onChange;
  private final Set<String> unavailableSources = new HashSet<>();
  private final RestoredServerList restoredServers = new RestoredServerList();
  private ImmutableMap<ReplicaId, BackendServer> storedServers = ImmutableMap.of();
  private boolean serversKnown;
  private boolean newestUnreadable;
  private boolean storedOutdated;

  /** Creates the state of a node in whose deployment evacuations are not in force. */
  public ServingState(
      RelayNode relay,
      LeavingServers leavingServers,
      EventLog log,
      Consumer<ServingView> onChange) {
    this(relay, leavingServers, EvacuatedZones.notFollowed(relay.timing()), log, onChange);
  }

  /**
   * Creates the state of a node.
   *
   * @param leavingServers the servers that are leaving whatever the list says
   * @param evacuatedZones the zones whose servers get no requests; until they are known, the view
   *     has no servers, so that the node is not ready and sends nothing
   * @param onChange called after each change of the configuration or the servers
   */
  public ServingState(
      RelayNode relay,
      LeavingServers leavingServers,
      EvacuatedZones evacuatedZones,
      EventLog log,
      Consumer<ServingView> onChange) {
    this.relay = relay;
    this.leavingServers = leavingServers;
    this.evacuatedZones = evacuatedZones;
    this.log = log;
    this.onChange = onChange;
    evacuationEffects = new EvacuationEffects(log);
    leavingServers.addListener(new LeavingServersObserver());
    evacuatedZones.setListener(this::republish);
    if (evacuatedZones.isFollowed()) {
      relay.metrics().registerEvacuatedZones(evacuatedZones::count);
    }
  }

  /** Applies a configuration if it is newer than the current one. */
  public void configurationRead(ServingConfiguration configuration) {
    newestUnreadable = false;
    long currentVersion =
        relay.view().configuration().map(ServingConfiguration::version).orElse(-1L);
    storedOutdated = configuration.version() < currentVersion;
    if (configuration.version() <= currentVersion) {
      return;
    }
    log.write(
        "configuration.taken",
        ImmutableMap.of(
            "version",
            configuration.version(),
            "before",
            currentVersion,
            "routes",
            configuration.routes().routes().size()));
    onChange.accept(
        relay.update(view -> view.withConfiguration(configuration, view.validatedAt())));
  }

  /**
   * Records that the newest configuration cannot be read. Until a readable one is read, the current
   * configuration is not validated again, since the newest one may have revoked keys.
   */
  public void configurationUnreadable(ObjectKey key, String reason) {
    newestUnreadable = true;
    objectUnreadable(key, reason);
  }

  /** Records that a store that was restored from an older copy has no configuration. */
  public void configurationMissing() {
    storedOutdated = relay.view().configuration().isPresent();
  }

  /**
   * Records that the configuration that was read last was the newest at {@code readAt}. An older
   * one than the current shows that the store was restored, and proves nothing.
   */
  public void configurationValidated(ReadTimestamp readAt) {
    markAvailable("config");
    if (newestUnreadable || storedOutdated) {
      return;
    }
    relay.update(view -> view.withValidation(Optional.of(readAt)));
  }

  /** Applies the list of backend servers. */
  public void serversRead(ImmutableMap<ReplicaId, BackendServer> servers) {
    serversRead(servers, ImmutableSet.of());
  }

  /**
   * Applies the list of backend servers.
   *
   * @param written the servers whose entries have been written since the last list
   */
  public void serversRead(
      ImmutableMap<ReplicaId, BackendServer> servers, ImmutableSet<ReplicaId> written) {
    storedServers = servers;
    applyServers(restoredServers.read(servers, written, relay.timing().nanoTime()));
  }

  /** Applies the first list of backend servers of a store that was restored from an older copy. */
  public void serversRestored(ImmutableMap<ReplicaId, BackendServer> servers) {
    storedServers = servers;
    log.write("store.restored", ImmutableMap.of("servers", servers.size()));
    applyServers(restoredServers.restore(servers, relay.timing().nanoTime()));
    relay.timing().schedule(RestoredServerList.REWRITE_TIME, this::endCorrections);
    relay.timing().schedule(RestoredServerList.DEPARTURE_TIME, this::endCorrections);
  }

  private void endCorrections() {
    if (restoredServers.isCorrected()) {
      serversRead(storedServers);
    }
  }

  private void applyServers(ImmutableMap<ReplicaId, BackendServer> servers) {
    markAvailable("servers");
    serversKnown = true;
    ImmutableMap<ReplicaId, BackendServer> staying = leavingServers.update(servers);
    long ready =
        evacuatedZones.apply(staying).values().stream().filter(BackendServer::ready).count();
    log.write("servers.taken", ImmutableMap.of("servers", servers.size(), "ready", ready));
    publish(staying);
  }

  private void republish() {
    if (serversKnown) {
      publish(leavingServers.servers());
    }
  }

  /** Updates the view with the servers of the list, to which the marks of leaving ones apply. */
  private void publish(ImmutableMap<ReplicaId, BackendServer> servers) {
    if (!evacuatedZones.isKnown()) {
      return;
    }
    evacuationEffects.check(servers.values(), evacuatedZones.zones());
    ImmutableMap<ReplicaId, BackendServer> usable = evacuatedZones.apply(servers);
    onChange.accept(
        relay.update(view -> view.withServers(usable).withEvacuatedZones(evacuatedZones.zones())));
  }

  /** Applies changes of the marks to the servers of the view. */
  private final class LeavingServersObserver implements LeavingServers.LeavingListener {

    @Override
    public void onLeaving(LeavingServers.Instance instance, LeavingServers.Source source) {
      relay.metrics().recordLeavingServer(source);
      republish();
    }

    @Override
    public void onAcceptingAgain() {
      republish();
    }
  }

  /** Records that the store gave no usable response; logs the start of an outage only. */
  public void storeUnavailable(String source, PlatformFailure failure) {
    if (unavailableSources.add(source)) {
      log.write("store.lost", ImmutableMap.of("what", source, "failure", failure));
    }
  }

  /** Logs an object that cannot be read; the view does not change. */
  public void objectUnreadable(ObjectKey key, String reason) {
    log.write("store.unreadable", ImmutableMap.of("object", key.path(), "reason", reason));
  }

  private void markAvailable(String source) {
    if (unavailableSources.remove(source)) {
      log.write("store.regained", ImmutableMap.of("what", source));
    }
  }
}
