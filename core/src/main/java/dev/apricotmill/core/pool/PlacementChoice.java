package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.EngineFigures;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

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
final class PlacementChoice {

  /** The helpers that one request may name; a limit of the engines. */
  private static final int MOST_HELPERS = 16;

  /** A prompt that one engine reads in this time is not shared: about one pass of writers. */
  private static final double SHORT_READ_MILLIS = 60;

  /** What one more part must save to be worth a share of another engine, in milliseconds. */
  private static final double PART_COST_MILLIS = 4;

  /** How much an engine with one more writer is avoided by long prompts, in milliseconds. */
  private static final double WRITER_COST_MILLIS = 20;

  /** The part of a goal that a placement may fill, since passes and links add to it. */
  private static final double GOAL_SHARE = 0.8;

  /** Slots that packing leaves free for what other nodes placed unseen. */
  private static final int SPARE_SLOTS = 2;

  /** What a distrusted engine counts as being behind, in milliseconds. */
  private static final double DISTRUST_COST_MILLIS = 5_000;

  /** When a caller finds room again, if every slot is taken. */
  private static final Duration COME_BACK = Duration.ofMillis(500);

  private final EngineFigures figures;
  private final ImmutableList<PoolMember> usable;
  private final PlacementAsk ask;
  private final double nowMillis;
  private final double readMillis;
  private final long tokens;

  PlacementChoice(
      EngineFigures figures, ImmutableList<PoolMember> usable, PlacementAsk ask, double nowMillis) {
    this.figures = figures;
    this.usable = usable;
    this.ask = ask;
    this.nowMillis = nowMillis;
    readMillis = figures.readMillis(ask.size().promptTokens());
    tokens = ask.size().promptTokens() + ask.size().maximumOutputTokens();
  }

  Placement choose() {
    ImmutableList<PoolMember> free =
        usable.stream()
            .filter(member -> member.answering() < member.server().slots())
            .filter(member -> tokens <= figures.memoryTokens() - member.usedTokens())
            .collect(ImmutableList.toImmutableList());
    if (free.isEmpty()) {
      return new Placement.Full(COME_BACK);
    }
    return readMillis <= SHORT_READ_MILLIS ? placeShort(free) : placeLong(free);
  }

  private Placement placeShort(ImmutableList<PoolMember> free) {
    Optional<PoolMember> packed =
        free.stream()
            .filter(member -> member.isTrusted(nowMillis))
            .filter(member -> member.answering() < member.server().slots() - SPARE_SLOTS)
            .filter(member -> firstEventMillis(member) <= ask.goal().toMillis() * GOAL_SHARE)
            .filter(member -> member.readRoomMillis(nowMillis) >= readMillis)
            .max(Comparator.comparingInt(PoolMember::answering));
    PoolMember chosen = packed.orElseGet(() -> cheapest(free, this::firstEventMillis).get(0));
    return grant(ImmutableList.of(chosen), firstEventMillis(chosen));
  }

  private Placement placeLong(ImmutableList<PoolMember> free) {
    ImmutableList<PoolMember> answering = cheapest(free.reverse(), this::longCost);
    PoolMember first = answering.get(0);
    ImmutableList<PoolMember> helpers =
        cheapest(
            usable.stream()
                .filter(member -> member != first && member.isTrusted(nowMillis))
                .filter(member -> member.helping() < member.server().slots())
                .collect(ImmutableList.toImmutableList())
                .reverse(),
            this::longCost);
    int best = 1;
    double bestMillis = Double.MAX_VALUE;
    for (int parts = 1; parts <= Math.min(MOST_HELPERS, helpers.size()) + 1; parts++) {
      double millis = finishMillis(first, helpers.subList(0, parts - 1));
      if (millis + PART_COST_MILLIS * parts < bestMillis) {
        bestMillis = millis + PART_COST_MILLIS * parts;
        best = parts;
      }
    }
    ImmutableList<PoolMember> chosen =
        ImmutableList.<PoolMember>builder().add(first).addAll(helpers.subList(0, best - 1)).build();
    return grant(chosen, finishMillis(first, helpers.subList(0, best - 1)));
  }

  /** Returns when the last of equal parts has been read, with the delay to writers beside it. */
  private double finishMillis(PoolMember first, ImmutableList<PoolMember> helpers) {
    double part = readMillis / (1 + helpers.size());
    double last = partMillis(first, part);
    for (PoolMember helper : helpers) {
      last = Math.max(last, partMillis(helper, part));
    }
    return last;
  }

  private double partMillis(PoolMember member, double part) {
    double excess = Math.max(0, part - member.readRoomMillis(nowMillis));
    return member.pendingReadMillis(nowMillis)
        + member.passMillis()
        + part
        + longHarm(member)
        + excess * member.answering();
  }

  private double longCost(PoolMember member) {
    return member.pendingReadMillis(nowMillis) + longHarm(member) + distrustCost(member);
  }

  private static double longHarm(PoolMember member) {
    return WRITER_COST_MILLIS * member.answering();
  }

  private double firstEventMillis(PoolMember member) {
    double pass = Math.max(member.passMillis(), figures.passMillis(1, 0));
    return member.pendingReadMillis(nowMillis) + readMillis + 2 * pass + distrustCost(member);
  }

  private double distrustCost(PoolMember member) {
    return member.isTrusted(nowMillis) ? 0 : DISTRUST_COST_MILLIS;
  }

  private static ImmutableList<PoolMember> cheapest(
      ImmutableList<PoolMember> members, ToDoubleFunction<PoolMember> cost) {
    return ImmutableList.sortedCopyOf(Comparator.comparingDouble(cost), members);
  }

  private static Placement grant(ImmutableList<PoolMember> chosen, double expectedMillis) {
    ImmutableList<ReplicaId> ids =
        chosen.stream()
            .map(member -> member.server().id())
            .collect(ImmutableList.toImmutableList());
    return new Placement.Granted(
        ids.get(0), ids.subList(1, ids.size()), Duration.ofMillis((long) expectedMillis));
  }
}
