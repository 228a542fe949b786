package dev.apricotmill.coordination.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * Simulates two operators that propose changes under injected faults, then compares the results
 * that they got with the stored history.
 */
final class ConfigurationSimulation {

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);
  private final List<ConfigurationStore> operators;
  private final List<Proposal> proposals = new ArrayList<>();
  private long generation;

  ConfigurationSimulation() {
    operators = Stream.of("ana", "bor").map(this::newStore).toList();
  }

  /** A proposed change and its result, empty while there is none. */
  private static final class Proposal {

    private final ConfigurationStore store;
    private final ConfigurationChange change;
    private Optional<ChangeResult> result = Optional.empty();

    Proposal(ConfigurationStore store, ConfigurationChange change) {
      this.store = store;
      this.change = change;
    }
  }

  FakePlatform platform() {
    return platform;
  }

  void propose(int operator) {
    PartContent part = PartContent.copyOf(("v" + proposals.size()).getBytes(UTF_8));
    start(
        operators.get(operator),
        new ConfigurationChange(
            generation, ImmutableMap.of("p", part), "operator", "c" + proposals.size()));
  }

  /** Proposes the last change again, as an operator does after an unknown result. */
  void repeatLast() {
    if (!proposals.isEmpty()) {
      Proposal last = proposals.get(proposals.size() - 1);
      start(last.store, last.change);
    }
  }

  void failNextWrite(PlatformFault fault) {
    platform.failNext(1, fault, call -> call.operation() == PlatformOperation.PUT);
  }

  void advance(Duration duration) {
    time.advance(duration);
    proposals.stream()
        .flatMap(proposal -> proposal.result.stream())
        .forEach(result -> generation = Math.max(generation, generationOf(result)));
  }

  /** Ends all faults and compares the results of the proposals with the history. */
  void checkHistory() {
    platform.heal();
    advance(Duration.ofSeconds(40));
    ImmutableList<ConfigurationHead> history = history();
    List<String> acceptedIds = history.stream().map(ConfigurationHead::changeId).toList();
    Set<String> uniqueIds = new HashSet<>(acceptedIds);
    assertWithMessage("a change is accepted once").that(uniqueIds).hasSize(acceptedIds.size());
    for (int i = 0; i < history.size(); i++) {
      assertThat(history.get(i).generation()).isEqualTo(history.size() - i);
    }
    for (Proposal proposal : proposals) {
      ChangeResult result = proposal.result.orElseThrow();
      String changeId = proposal.change.changeId();
      if (result instanceof ChangeResult.Accepted) {
        assertThat(acceptedIds).contains(changeId);
      } else if (result instanceof ChangeResult.ConflictsWith) {
        assertThat(acceptedIds).doesNotContain(changeId);
      } else if (result instanceof ChangeResult.Unavailable && !isRepeated(changeId)) {
        assertThat(acceptedIds).doesNotContain(changeId);
      }
    }
  }

  private boolean isRepeated(String changeId) {
    return proposals.stream()
            .filter(proposal -> proposal.change.changeId().equals(changeId))
            .count()
        > 1;
  }

  private void start(ConfigurationStore store, ConfigurationChange change) {
    Proposal proposal = new Proposal(store, change);
    proposals.add(proposal);
    store.propose(change).thenAccept(result -> proposal.result = Optional.of(result));
  }

  private ImmutableList<ConfigurationHead> history() {
    var result = operators.get(0).history(1000).toCompletableFuture();
    time.advance(Duration.ofSeconds(5));
    return ((HistoryResult.Listed) result.join()).heads();
  }

  private static long generationOf(ChangeResult result) {
    if (result instanceof ChangeResult.Accepted accepted) {
      return accepted.head().generation();
    }
    return result instanceof ChangeResult.ConflictsWith conflict
        ? conflict.current().generation()
        : 0;
  }

  private ConfigurationStore newStore(String process) {
    VirtualScheduler scheduler = time.newScheduler();
    return new ConfigurationStore(
        time.timingOf(scheduler),
        platform.clientFor(process, new Zone("office"), scheduler),
        WriterSettings.defaults(),
        new SplittableRandom(process.hashCode()));
  }
}
