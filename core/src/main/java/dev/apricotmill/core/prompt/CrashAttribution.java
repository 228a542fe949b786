package dev.apricotmill.core.prompt;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the part of prompts under which one engine after the other ends.
 *
 * <p>Answers a stream of different requests with one part in common, each of which crashes the
 * engine that begins to write its response, and with it many sound requests. A part is blamed if
 * requests with it were broken off on several engines, one after the other, and no response to a
 * prompt with it was written in between. A part on which many responses were written lately, such
 * as a common first part, needs more evidence. Engines that ended while a blamed part was on them
 * speak against no other part.
 *
 * <p>Times are in milliseconds of a monotonic clock. Not thread-safe.
 */
public final class CrashAttribution {

  /** How long after a crash all nodes with requests on the engine have reported it. */
  public static final Duration SETTLE_TIME = Duration.ofMillis(100);

  private static final int MIN_CRASHES = 4;
  private static final int MAX_EXTRA_CRASHES = 8;

  /** A request that is repeated must not count as several. */
  private static final int MIN_DIFFERENT_PROMPTS = 2;

  /** Engines that end within this time are taken to have another cause in common. */
  private static final double SIMULTANEOUS_MILLIS = 50;

  /** Reports on one engine within this time are about one crash. */
  private static final double ONE_CRASH_MILLIS = 2_000;

  private static final double MAX_EVIDENCE_AGE_MILLIS = 60_000;
  private static final int MAX_CRASHES = 256;
  private static final int MAX_PARTS = 4_096;

  /** The time in which the weight of an earlier response falls to half. */
  private static final double HALF_LIFE_MILLIS = 30_000;

  private final Deque<Crash> crashes = new ArrayDeque<>();
  private final Map<String, PartHistory> histories =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PartHistory> eldest) {
          return size() > MAX_PARTS;
        }
      };

  /**
   * An engine that ended.
   *
   * @param server the engine
   * @param atMillis when the first request was broken off
   * @param prompts the prompts that were broken off before or soon after their response began
   */
  private record Crash(ReplicaId server, double atMillis, Set<PromptParts> prompts) {

    boolean contains(String part) {
      return prompts.stream().anyMatch(prompt -> prompt.shared().contains(part));
    }

    boolean containsAny(Predicate<String> parts) {
      return prompts.stream().anyMatch(prompt -> prompt.shared().stream().anyMatch(parts));
    }
  }

  /**
   * The responses that were written on a part.
   *
   * @param lastMillis when the last of them had been written, or long enough
   * @param weight their number, in which earlier ones count less
   */
  private record PartHistory(double lastMillis, double weight) {

    static final PartHistory NONE = new PartHistory(Double.NEGATIVE_INFINITY, 0);

    double weightAt(double nowMillis) {
      return weight == 0 ? 0 : weight * Math.pow(0.5, (nowMillis - lastMillis) / HALF_LIFE_MILLIS);
    }

    PartHistory withResponseAt(double atMillis) {
      double latest = Math.max(lastMillis, atMillis);
      return new PartHistory(latest, weightAt(latest) + 1);
    }
  }

  /**
   * A part that may be to blame.
   *
   * @param part the part
   * @param crashes the number of engines that ended under it
   * @param weight the weight of responses that were written on it
   * @param position its greatest index in a prompt; what comes later is shared by fewer prompts
   */
  private record Suspect(String part, int crashes, double weight, int position) {}

  /** Records that a response was written to its end, or long enough to clear its prompt's parts. */
  public void onWritten(PromptParts prompt, double atMillis) {
    prompt
        .shared()
        .forEach(
            part ->
                histories.compute(
                    part,
                    (id, history) ->
                        (history == null ? PartHistory.NONE : history).withResponseAt(atMillis)));
  }

  /** Records that an engine broke off a response before, or soon after, it began to write it. */
  public void onBrokenOff(ReplicaId server, PromptParts prompt, double atMillis) {
    for (Crash crash : crashes) {
      if (crash.server().equals(server)
          && Math.abs(crash.atMillis() - atMillis) < ONE_CRASH_MILLIS) {
        crash.prompts().add(prompt);
        return;
      }
    }
    crashes.addLast(new Crash(server, atMillis, new HashSet<>(Set.of(prompt))));
    if (crashes.size() > MAX_CRASHES) {
      crashes.removeFirst();
    }
  }

  /**
   * Returns the part to blame, if the evidence suffices.
   *
   * @param blamed the parts that are known to crash engines
   */
  public Optional<String> findCrashingPart(Predicate<String> blamed, double nowMillis) {
    crashes.removeIf(crash -> nowMillis - crash.atMillis() > MAX_EVIDENCE_AGE_MILLIS);
    ImmutableList<Crash> unexplained =
        crashes.stream()
            .filter(crash -> nowMillis - crash.atMillis() >= SETTLE_TIME.toMillis())
            .filter(crash -> !crash.containsAny(blamed))
            .sorted(Comparator.comparingDouble(Crash::atMillis))
            .collect(ImmutableList.toImmutableList());
    return parts(unexplained).stream()
        .flatMap(part -> suspect(part, unexplained, nowMillis).stream())
        .max(
            Comparator.comparingDouble((Suspect suspect) -> -suspect.weight())
                .thenComparingInt(Suspect::position)
                .thenComparingInt(Suspect::crashes)
                .thenComparing(Suspect::part))
        .map(Suspect::part);
  }

  private static ImmutableSet<String> parts(Collection<Crash> crashes) {
    return crashes.stream()
        .flatMap(crash -> crash.prompts().stream())
        .flatMap(prompt -> prompt.shared().stream())
        .collect(ImmutableSet.toImmutableSet());
  }

  private Optional<Suspect> suspect(String part, List<Crash> unexplained, double nowMillis) {
    PartHistory history = histories.getOrDefault(part, PartHistory.NONE);
    List<Crash> counted = new ArrayList<>();
    for (Crash crash : unexplained) {
      boolean simultaneous =
          !counted.isEmpty()
              && crash.atMillis() - counted.get(counted.size() - 1).atMillis()
                  < SIMULTANEOUS_MILLIS;
      if (crash.atMillis() > history.lastMillis() && crash.contains(part) && !simultaneous) {
        counted.add(crash);
      }
    }
    double weight = history.weightAt(nowMillis);
    ImmutableSet<PromptParts> prompts =
        counted.stream()
            .flatMap(crash -> crash.prompts().stream())
            .filter(prompt -> prompt.shared().contains(part))
            .collect(ImmutableSet.toImmutableSet());
    int required = MIN_CRASHES + (int) Math.min(MAX_EXTRA_CRASHES, weight);
    if (counted.size() < required || prompts.size() < MIN_DIFFERENT_PROMPTS) {
      return Optional.empty();
    }
    int position =
        prompts.stream().mapToInt(prompt -> prompt.shared().indexOf(part)).max().orElse(0);
    return Optional.of(new Suspect(part, counted.size(), weight, position));
  }
}
