package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Chooses engines for one request.
 *
 * <p>Answers the load pattern of short questions and long prompts whose shares turn within a
 * second. Writing beside other writers costs little, reading beside writers delays their events.
 * Short questions are therefore packed on few engines, as long as none is late by it, and long
 * prompts are read in parts on the engines with the fewest writers. The border between the two
 * moves with each request. Where costs are equal, short questions begin at one end of the list and
 * long prompts at the other, so that dispatchers that do not know of each other agree.
 */
final class PlacementPlanner {

  /** The helpers that one request may name; a limit of the engines. */
  private static final int MOST_HELPERS = 16;

  /** A prompt that one engine reads in this time is not shared: about one pass of writers. */
  private static final double SHORT_READ_MILLIS = 60;

  /** What one more part must save to be worth a share of another engine, in values of requests. */
  private static final double PART_VALUE = 0.003;

  /**
   * What a part costs for each writer beside it, in values of requests: it takes room that short
   * questions would fill, and spreads them over more engines.
   */
  private static final double CROWD_VALUE = 0.002;

  /** The part of its value that an answer loses when it is late. */
  private static final double LATE_SHARE = 0.75;

  /** The part of its value that an answer would lose on the way to its goal. */
  private static final double SPEED_SHARE = 0.2;

  /** What a value of one counts for beside waiting, in milliseconds. */
  private static final double VALUE_MILLIS = 2_000;

  /** How much an engine with one more writer is avoided by long prompts, in milliseconds. */
  private static final double WRITER_COST_MILLIS = 20;

  /** The part of a goal that a placement may fill, since passes and links add to it. */
  private static final double GOAL_SHARE = 0.8;

  /** Slots that packing leaves free for what other nodes placed unseen. */
  private static final int SPARE_SLOTS = 2;

  /** What a distrusted engine counts as being behind, in milliseconds. */
  private static final double DISTRUST_COST_MILLIS = 5_000;

  /** Engines give memory out in blocks of this many tokens. */
  private static final long MEMORY_BLOCK_TOKENS = 16;

  /** When a caller finds room again, if every slot is taken. */
  private static final Duration COME_BACK = Duration.ofMillis(500);

  private final EngineCostModel figures;
  private final ImmutableList<EngineState> usable;
  private final PlacementRequest ask;
  private final double nowMillis;
  private final double readMillis;
  private final long tokens;

  PlacementPlanner(
      EngineCostModel figures,
      ImmutableList<EngineState> usable,
      PlacementRequest ask,
      double nowMillis) {
    this.figures = figures;
    this.usable = usable;
    this.ask = ask;
    this.nowMillis = nowMillis;
    readMillis = figures.prefillMillis(ask.size().promptTokens());
    tokens = ask.size().promptTokens() + ask.size().maximumOutputTokens();
  }

  Placement choose() {
    ImmutableList<EngineState> free =
        usable.stream()
            .filter(member -> member.answering() < member.server().slots())
            .filter(member -> tokens <= figures.memoryTokens() - member.usedTokens())
            .collect(ImmutableList.toImmutableList());
    if (free.isEmpty()) {
      return placeReserved();
    }
    return readMillis <= SHORT_READ_MILLIS ? placeShort(free) : placeLong(free);
  }

  private Placement placeShort(ImmutableList<EngineState> free) {
    Optional<EngineState> packed =
        free.stream()
            .filter(member -> member.isTrusted(nowMillis))
            .filter(member -> member.answering() < member.server().slots() - SPARE_SLOTS)
            .filter(
                member ->
                    firstEventMillis(member) <= ask.firstEventTarget().toMillis() * GOAL_SHARE)
            .filter(member -> member.readRoomMillis(nowMillis) >= readMillis)
            .max(Comparator.comparingInt(EngineState::answering));
    EngineState chosen = packed.orElseGet(() -> cheapest(free, this::firstEventMillis).get(0));
    return grant(ImmutableList.of(chosen), firstEventMillis(chosen), 0);
  }

  private Placement placeLong(ImmutableList<EngineState> free) {
    ImmutableList<EngineState> helping =
        usable.stream()
            .filter(member -> member.isTrusted(nowMillis))
            .filter(member -> member.helping() < member.server().slots())
            .collect(ImmutableList.toImmutableList())
            .reverse();
    Plan best = plan(1, free.reverse(), helping);
    int most = Math.min(MOST_HELPERS, helping.size() - 1) + 1;
    for (int parts = 2; parts <= most; parts++) {
      Plan plan = plan(parts, free.reverse(), helping);
      if (plan.cost() < best.cost()) {
        best = plan;
      }
    }
    return grant(best.members(), best.finishMillis(), 0);
  }

  /** Places a prompt that no engine can hold: its helpers keep their parts in reserved memory. */
  private Placement placeReserved() {
    ImmutableList<EngineState> open =
        usable.stream()
            .filter(member -> member.isTrusted(nowMillis))
            .filter(member -> member.helping() < member.server().slots())
            .collect(ImmutableList.toImmutableList())
            .reverse();
    @Nullable Plan best = null;
    for (int parts = 2; parts <= Math.min(MOST_HELPERS + 1, open.size()); parts++) {
      long partTokens = reservedTokens(parts);
      ImmutableList<EngineState> first =
          withMemory(open, partTokens + ask.size().maximumOutputTokens()).stream()
              .filter(member -> member.answering() < member.server().slots())
              .collect(ImmutableList.toImmutableList());
      ImmutableList<EngineState> helping = withMemory(open, partTokens);
      if (first.isEmpty() || helping.size() < parts) {
        continue;
      }
      Plan plan = plan(parts, first, helping);
      if (delaysNobody(plan, parts) && (best == null || plan.cost() < best.cost())) {
        best = plan;
      }
    }
    return best == null
        ? new Placement.Full(COME_BACK)
        : grant(best.members(), best.finishMillis(), reservedTokens(best.members().size()));
  }

  /**
   * Returns whether a plan makes no answer late, its own included. Reading grows with the square of
   * the prompt: the largest prompts are worth the least for the time that they take, so they run
   * only where engines are free.
   */
  private boolean delaysNobody(Plan plan, int parts) {
    double part = readMillis / parts;
    return plan.finishMillis() <= ask.firstEventTarget().toMillis()
        && plan.members().stream().allMatch(member -> harmValue(member, part) == 0);
  }

  /** Returns the memory that one of equal parts takes, in whole blocks with one to spare. */
  private long reservedTokens(int parts) {
    long part = (ask.size().promptTokens() + parts - 1) / parts;
    return (part / MEMORY_BLOCK_TOKENS + 2) * MEMORY_BLOCK_TOKENS;
  }

  private ImmutableList<EngineState> withMemory(ImmutableList<EngineState> members, long needed) {
    return members.stream()
        .filter(member -> needed <= figures.memoryTokens() - member.usedTokens())
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * A way to read the prompt.
   *
   * @param members the engine that answers, then those that help
   * @param finishMillis when the last part has been read
   * @param cost what the plan makes late, in values of requests
   */
  private record Plan(ImmutableList<EngineState> members, double finishMillis, double cost) {}

  /** An engine with its cost, which is reckoned once rather than in each comparison. */
  private record Weighed(EngineState member, double cost) {}

  /** Returns the cheapest way to read the prompt in that many equal parts. */
  private Plan plan(
      int parts, ImmutableList<EngineState> free, ImmutableList<EngineState> helping) {
    double part = readMillis / parts;
    ToDoubleFunction<EngineState> cost = member -> harm(member, part) + longCost(member);
    EngineState first = cheapest(free, cost).get(0);
    ImmutableList<EngineState> members =
        ImmutableList.<EngineState>builder()
            .add(first)
            .addAll(
                cheapest(helping, cost).stream()
                    .filter(member -> member != first)
                    .limit(parts - 1)
                    .iterator())
            .build();
    double finish = 0;
    double value = 0;
    for (EngineState member : members) {
      finish = Math.max(finish, finishMillis(member, part));
      value += harmValue(member, part) + CROWD_VALUE * member.answering();
    }
    double own = figures.relativeValue(ask.size().promptTokens());
    double goal = Math.max(1, ask.firstEventTarget().toMillis() * GOAL_SHARE);
    if (finish > goal) {
      value += own * LATE_SHARE;
    }
    double urgency = finish / goal;
    value += own * SPEED_SHARE * urgency * urgency + PART_VALUE * parts;
    return new Plan(members, finish, value);
  }

  private double finishMillis(EngineState member, double part) {
    return member.pendingReadMillis(nowMillis) + member.passMillis() + part;
  }

  /** Returns the worth of the answers that a part makes late on an engine. */
  private double harmValue(EngineState member, double part) {
    return part > member.readRoomMillis(nowMillis) ? LATE_SHARE * member.valueOnTime() : 0;
  }

  /** Returns the same as a delay, so that it can be compared with waiting. */
  private double harm(EngineState member, double part) {
    return harmValue(member, part) * VALUE_MILLIS;
  }

  private double longCost(EngineState member) {
    return member.pendingReadMillis(nowMillis)
        + WRITER_COST_MILLIS * member.answering()
        + distrustCost(member);
  }

  private double firstEventMillis(EngineState member) {
    double pass = Math.max(member.passMillis(), figures.decodeIterationMillis(1, 0));
    return member.pendingReadMillis(nowMillis) + readMillis + 2 * pass + distrustCost(member);
  }

  private double distrustCost(EngineState member) {
    return member.isTrusted(nowMillis) ? 0 : DISTRUST_COST_MILLIS;
  }

  private static ImmutableList<EngineState> cheapest(
      ImmutableList<EngineState> members, ToDoubleFunction<EngineState> cost) {
    return members.stream()
        .map(member -> new Weighed(member, cost.applyAsDouble(member)))
        .sorted(Comparator.comparingDouble(Weighed::cost))
        .map(Weighed::member)
        .collect(ImmutableList.toImmutableList());
  }

  private static Placement grant(
      ImmutableList<EngineState> chosen, double expectedMillis, long reservedTokens) {
    ImmutableList<ReplicaId> ids =
        chosen.stream()
            .map(member -> member.server().id())
            .collect(ImmutableList.toImmutableList());
    return new Placement.Granted(
        ids.get(0),
        ids.subList(1, ids.size()),
        Duration.ofMillis((long) expectedMillis),
        reservedTokens);
  }
}
