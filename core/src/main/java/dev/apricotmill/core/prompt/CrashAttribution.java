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
 * as a common first part, needs more evidence, and no part is blamed that is missing on most
 * engines that ended. Engines that ended while a blamed part was on them speak against no other
 * part.
 *
 * <p>Times are in milliseconds of a monotonic clock. Not thread-safe.
 */
public final class CrashAttribution {

  /** How long after a crash all nodes with requests on the engine have reported it. */
  public static final Duration SETTLE_TIME = Duration.ofMillis(100);

  private static final int MIN_CRASHES = 5;
  private static final int MAX_EXTRA_CRASHES = 8;

  /** Parts that nothing tells apart are not blamed before this many engines have ended. */
  private static final int MAX_AMBIGUOUS_CRASHES = 12;

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

  private static final Comparator<Suspect> LIKELIEST_FIRST =
      Comparator.comparingDouble(Suspect::weight)
          .thenComparingInt(Suspect::otherCrashes)
          .thenComparing(Comparator.comparingInt(Suspect::position).reversed())
          .thenComparing(Comparator.comparingInt(Suspect::crashes).reversed());

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

    PartHistory plus(PartHistory other) {
      double latest = Math.max(lastMillis, other.lastMillis);
      return new PartHistory(latest, weightAt(latest) + other.weightAt(latest));
    }
  }

  /**
   * A part that may be to blame.
   *
   * @param part the part
   * @param crashes the number of engines that ended under it
   * @param otherCrashes engines that ended without it in the same time
   * @param weight the weight of responses that were written on it
   * @param position its greatest index in a prompt; what comes later is shared by fewer prompts
   */
  private record Suspect(String part, int crashes, int otherCrashes, double weight, int position) {}

  /**
   * The responses that were written on a part.
   *
   * @param part the part
   * @param weight their number, in which earlier ones count less
   * @param lastMillis when the last of them was written
   */
  public record WrittenPart(String part, double weight, double lastMillis) {}

  /** Records that a response was written to its end, or long enough to clear its prompt's parts. */
  public void onWritten(PromptParts prompt, double atMillis) {
    prompt.shared().forEach(part -> onWritten(part, 1, atMillis));
  }

  /**
   * Records responses that another dispatcher knew of.
   *
   * @param weight their number, in which earlier ones count less
   * @param lastMillis when the last of them was written
   */
  public void onWritten(String part, double weight, double lastMillis) {
    histories.merge(part, new PartHistory(lastMillis, weight), PartHistory::plus);
  }

  /** Returns the parts on which most responses were written. */
  public ImmutableList<WrittenPart> mostWritten(int limit, double nowMillis) {
    return histories.entrySet().stream()
        .sorted(
            Comparator.comparingDouble(
                (Map.Entry<String, PartHistory> entry) -> -entry.getValue().weightAt(nowMillis)))
        .limit(limit)
        .map(
            entry ->
                new WrittenPart(
                    entry.getKey(), entry.getValue().weight(), entry.getValue().lastMillis()))
        .collect(ImmutableList.toImmutableList());
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
    ImmutableList<Suspect> suspects =
        parts(unexplained).stream()
            .flatMap(part -> suspect(part, unexplained, nowMillis).stream())
            .sorted(LIKELIEST_FIRST)
            .collect(ImmutableList.toImmutableList());
    boolean ambiguous =
        suspects.size() > 1 && LIKELIEST_FIRST.compare(suspects.get(0), suspects.get(1)) == 0;
    return suspects.stream()
        .findFirst()
        .filter(likeliest -> !ambiguous || likeliest.crashes() >= MAX_AMBIGUOUS_CRASHES)
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
    List<Crash> since =
        unexplained.stream().filter(crash -> crash.atMillis() > history.lastMillis()).toList();
    List<Crash> counted =
        oneAfterTheOther(since.stream().filter(crash -> crash.contains(part)).toList());
    List<Crash> others =
        oneAfterTheOther(
            since.stream()
                .filter(crash -> !crash.contains(part) && crash.prompts().size() > 1)
                .toList());
    double weight = history.weightAt(nowMillis);
    ImmutableSet<PromptParts> prompts =
        counted.stream()
            .flatMap(crash -> crash.prompts().stream())
            .filter(prompt -> prompt.shared().contains(part))
            .collect(ImmutableSet.toImmutableSet());
    int required = MIN_CRASHES + (int) Math.min(MAX_EXTRA_CRASHES, weight);
    if (counted.size() < required
        || counted.size() < others.size()
        || prompts.size() < MIN_DIFFERENT_PROMPTS) {
      return Optional.empty();
    }
    int position =
        prompts.stream().mapToInt(prompt -> prompt.shared().indexOf(part)).max().orElse(0);
    return Optional.of(new Suspect(part, counted.size(), others.size(), weight, position));
  }

  /** Returns crashes without those that came too soon after another to have a cause of its own. */
  private static List<Crash> oneAfterTheOther(List<Crash> crashes) {
    List<Crash> separate = new ArrayList<>();
    for (Crash crash : crashes) {
      if (separate.isEmpty()
          || crash.atMillis() - separate.get(separate.size() - 1).atMillis()
              >= SIMULTANEOUS_MILLIS) {
        separate.add(crash);
      }
    }
    return separate;
  }
}
