package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Chooses engines for one request.
 *
 * <p>Designed for a mix of short and long prompts whose shares can change within a second. One more
 * decoding request costs an engine little, but a prefill delays the events of every request that
 * the engine decodes. Short prompts are therefore packed on few engines as long as no response
 * becomes late, and long prompts are prefilled in parts on the engines with the fewest decoding
 * requests. The border between the two groups of engines moves with each request. Where costs are
 * equal, short prompts are assigned from the start of the list and long prompts from its end, so
 * that dispatchers that do not know of each other's placements still separate the two.
 */
final class PlacementPlanner {

  /** The engines accept at most this many helpers in one request. */
  private static final int MAXIMUM_HELPERS = 16;

  /** A prefill up to this time is not split; it takes about one iteration of a decoding engine. */
  private static final double MAXIMUM_UNSPLIT_PREFILL_MILLIS = 60;

  /**
   * What one more part must save to be worth a share of another engine, in units of {@link
   * EngineCostModel#relativeValue}.
   */
  private static final double COST_PER_PART = 0.003;

  /**
   * Cost of a part for each request that its engine decodes, in units of {@link
   * EngineCostModel#relativeValue}. The part takes prefill time that short prompts would use, and
   * so spreads them over more engines.
   */
  private static final double COST_PER_DECODING_REQUEST = 0.002;

  /** The fraction of its value that a response loses when it misses its latency target. */
  private static final double LATE_VALUE_LOSS = 0.75;

  /** The fraction of its value that a response loses if it uses all of its usable target. */
  private static final double LATENCY_VALUE_LOSS = 0.2;

  /**
   * The same fraction where prompts compete for engines. An early first event gains nothing there,
   * and each further engine that reads a part is one that short prompts would use.
   */
  private static final double LATENCY_VALUE_LOSS_IN_COMPETITION = 0.05;

  /** The wait in milliseconds that a long prompt accepts to avoid one more decoding request. */
  private static final double DECODING_REQUEST_COST_MILLIS = 20;

  /** The fraction of a latency target that a plan may use; iterations and network add delay. */
  private static final double USABLE_TARGET_SHARE = 0.8;

  /** Slots that packing leaves free for requests that other nodes placed and this one missed. */
  private static final int SPARE_SLOTS = 2;

  /** The extra wait in milliseconds that an engine in cool-down is charged with. */
  private static final double COOL_DOWN_COST_MILLIS = 5_000;

  /** Engines allocate KV memory in blocks of this many tokens. */
  private static final long MEMORY_BLOCK_TOKENS = 16;

  /** The retry delay when no engine can take the request. */
  private static final Duration FULL_POOL_RETRY_AFTER = Duration.ofMillis(500);

  private final EngineCostModel costModel;
  private final ImmutableList<EngineState> usable;
  private final PlacementRequest request;
  private final ExcludedHelpers excludedHelpers;
  private final EngineShare share;
  private final int shareEnd;
  private final double nowMillis;
  private final double prefillMillis;
  private final long requiredTokens;

  PlacementPlanner(
      EngineCostModel costModel,
      ImmutableList<EngineState> usable,
      PlacementRequest request,
      ExcludedHelpers excludedHelpers,
      EngineShare share,
      double nowMillis) {
    this.costModel = costModel;
    this.nowMillis = nowMillis;
    this.usable = usable;
    this.request = request;
    this.excludedHelpers = excludedHelpers;
    this.share = share;
    shareEnd = shareEnd();
    prefillMillis = costModel.prefillMillis(request.size().promptTokens());
    requiredTokens = request.size().promptTokens() + request.size().maximumOutputTokens();
  }

  /** Returns whether a prompt with this prefill time is placed on one engine, unsplit. */
  static boolean isShort(double prefillMillis) {
    return prefillMillis <= MAXIMUM_UNSPLIT_PREFILL_MILLIS;
  }

  /** Returns the position after the last engine of the share; engines in cool-down are no part. */
  private int shareEnd() {
    int left = share.engineCount();
    for (EngineState engine : usable) {
      if (left == 0) {
        return engine.position();
      }
      left -= engine.hasCooledDown(nowMillis) ? 1 : 0;
    }
    return share.isInForce() ? Integer.MAX_VALUE : 0;
  }

  private boolean isInShare(EngineState engine) {
    return engine.position() < shareEnd;
  }

  Placement choose() {
    ImmutableList<EngineState> free =
        usable.stream()
            .filter(engine -> engine.generationCount() < engine.server().slots())
            .filter(engine -> requiredTokens <= costModel.memoryTokens() - engine.usedTokens())
            .collect(ImmutableList.toImmutableList());
    if (free.isEmpty()) {
      return placeWithReservations();
    }
    return isShort(prefillMillis) ? placeShort(free) : placeLong(free);
  }

  private Placement placeShort(ImmutableList<EngineState> free) {
    Optional<EngineState> packed =
        free.stream()
            .filter(engine -> engine.hasCooledDown(nowMillis))
            .filter(engine -> engine.generationCount() < engine.server().slots() - SPARE_SLOTS)
            .filter(
                engine ->
                    firstEventMillis(engine)
                        <= request.firstEventTarget().toMillis() * USABLE_TARGET_SHARE)
            .filter(engine -> budgetMillis(engine) >= prefillMillis)
            .max(
                Comparator.comparing(this::isInShare)
                    .thenComparingInt(EngineState::generationCount));
    EngineState chosen =
        packed.orElseGet(
            () -> Collections.min(free, Comparator.comparingDouble(this::firstEventMillis)));
    return grant(ImmutableList.of(chosen), firstEventMillis(chosen), 0);
  }

  private Placement placeLong(ImmutableList<EngineState> free) {
    ImmutableList<EngineOption> generationOptions = options(free);
    ImmutableList<EngineOption> helperOptions = options(helpers(/* reserves= */ false));
    Plan best = plan(1, generationOptions, helperOptions);
    int maximumParts = Math.min(MAXIMUM_HELPERS, helperOptions.size() - 1) + 1;
    for (int parts = 2; parts <= maximumParts; parts++) {
      Plan plan = plan(parts, generationOptions, helperOptions);
      if (plan.cost() < best.cost()) {
        best = plan;
      }
    }
    return grant(best.engines(), best.finishMillis(), 0);
  }

  private ImmutableList<EngineState> helpers(boolean reserves) {
    ImmutableList.Builder<EngineState> helpers = ImmutableList.builder();
    for (EngineState engine : usable) {
      if (engine.hasCooledDown(nowMillis)
          && engine.prefillOnlyCount() < engine.server().slots()
          && excludedHelpers.allows(engine.server().id(), reserves)) {
        helpers.add(engine);
      }
    }
    return helpers.build();
  }

  /** Places a prompt that no engine can hold; each helper keeps its part in reserved memory. */
  private Placement placeWithReservations() {
    ImmutableList<EngineOption> options = options(helpers(/* reserves= */ true));
    @Nullable Plan best = null;
    for (int parts = 2; parts <= Math.min(MAXIMUM_HELPERS + 1, options.size()); parts++) {
      long partTokens = reservedTokens(parts);
      ImmutableList<EngineOption> generationOptions =
          generating(withMemory(options, partTokens + request.size().maximumOutputTokens()));
      ImmutableList<EngineOption> helperOptions = withMemory(options, partTokens);
      if (generationOptions.isEmpty() || helperOptions.size() < parts) {
        continue;
      }
      Plan plan = plan(parts, generationOptions, helperOptions);
      if (isWorthwhile(plan, parts) && (best == null || plan.cost() < best.cost())) {
        best = plan;
      }
    }
    return best == null
        ? new Placement.Full(retryAfter())
        : grant(best.engines(), best.finishMillis(), reservedTokens(best.engines().size()));
  }

  /**
   * Returns whether a plan may be used. Where prompts compete for engines, it may make responses
   * late, also its own, if it loses less value than a refusal, with the engine time that others
   * need counted at its price.
   */
  private boolean isWorthwhile(Plan plan, int parts) {
    if (!share.isInForce()) {
      return delaysNoResponse(plan, parts);
    }
    return plan.finishMillis() <= request.remainingTime().toMillis() * USABLE_TARGET_SHARE
        && plan.cost() + share.pricePerMilli() * prefillMillis < ownValue();
  }

  /** Returns the time until the prompt may be worth its engine time, even if it is late then. */
  private Duration retryAfter() {
    double margin = ownValue() * (1 - LATE_VALUE_LOSS);
    double waitMillis =
        PrefillDemand.millisUntilPrice(share.pricePerMilli(), margin / prefillMillis);
    return waitMillis > FULL_POOL_RETRY_AFTER.toMillis()
        ? Duration.ofMillis((long) Math.min(waitMillis, request.remainingTime().toMillis() / 2.0))
        : FULL_POOL_RETRY_AFTER;
  }

  /** Returns the value of the request; a prompt that no engine can hold is worth no more. */
  private double ownValue() {
    long tokens = request.size().promptTokens();
    return costModel.relativeValue(
        share.isInForce() ? Math.min(tokens, costModel.memoryTokens()) : tokens);
  }

  /**
   * Returns whether a plan makes no response late, its own included. Prefill time grows with the
   * square of the prompt length. The largest prompts therefore have the lowest value for the time
   * that they take, and run only where engines have time to spare.
   */
  private boolean delaysNoResponse(Plan plan, int parts) {
    double partMillis = prefillMillis / parts;
    return plan.finishMillis() <= request.firstEventTarget().toMillis()
        && plan.engines().stream()
            .allMatch(
                engine ->
                    partMillis <= engine.prefillBudgetMillis(nowMillis)
                        || engine.onTimeValue() == 0);
  }

  /** Returns the memory of one of equal parts in tokens, in whole blocks plus one spare block. */
  private long reservedTokens(int parts) {
    long partTokens = (request.size().promptTokens() + parts - 1) / parts;
    return (partTokens / MEMORY_BLOCK_TOKENS + 2) * MEMORY_BLOCK_TOKENS;
  }

  private ImmutableList<EngineOption> withMemory(
      ImmutableList<EngineOption> options, long neededTokens) {
    ImmutableList.Builder<EngineOption> fitting = ImmutableList.builder();
    for (EngineOption option : options) {
      if (neededTokens <= costModel.memoryTokens() - option.engine().usedTokens()) {
        fitting.add(option);
      }
    }
    return fitting.build();
  }

  private static ImmutableList<EngineOption> generating(ImmutableList<EngineOption> options) {
    ImmutableList.Builder<EngineOption> generating = ImmutableList.builder();
    for (EngineOption option : options) {
      if (option.generationCount() < option.engine().server().slots()) {
        generating.add(option);
      }
    }
    return generating.build();
  }

  /**
   * A way to split the prefill of the prompt.
   *
   * @param engines the engine that generates the response, then the helpers
   * @param finishMillis the time until the last part is prefilled
   * @param cost the value that the plan loses, in units of {@link EngineCostModel#relativeValue}
   */
  private record Plan(ImmutableList<EngineState> engines, double finishMillis, double cost) {}

  /** Returns the cheapest plan that splits the prompt into that many equal parts. */
  private Plan plan(
      int parts,
      ImmutableList<EngineOption> generationOptions,
      ImmutableList<EngineOption> helperOptions) {
    double partMillis = prefillMillis / parts;
    EngineOption first = EngineOption.cheapest(generationOptions, partMillis, 1).get(0);
    List<EngineOption> chosen = new ArrayList<>(parts);
    chosen.add(first);
    // One more than there are helpers: the generating engine may be among the cheapest.
    for (EngineOption helper : EngineOption.cheapest(helperOptions, partMillis, parts)) {
      if (helper.engine() != first.engine() && chosen.size() < parts) {
        chosen.add(helper);
      }
    }
    ImmutableList.Builder<EngineState> engines = ImmutableList.builder();
    double lastFinishMillis = 0;
    double costValue = 0;
    for (EngineOption option : chosen) {
      engines.add(option.engine());
      lastFinishMillis = Math.max(lastFinishMillis, option.finishMillis(partMillis));
      costValue +=
          option.lateValue(partMillis) + COST_PER_DECODING_REQUEST * option.generationCount();
    }
    double ownValue = ownValue();
    double latencyValueLoss =
        share.isInForce() ? LATENCY_VALUE_LOSS_IN_COMPETITION : LATENCY_VALUE_LOSS;
    double targetMillis = Math.max(1, request.firstEventTarget().toMillis() * USABLE_TARGET_SHARE);
    if (lastFinishMillis > targetMillis) {
      costValue += ownValue * LATE_VALUE_LOSS;
    }
    double targetFraction = lastFinishMillis / targetMillis;
    costValue +=
        ownValue * latencyValueLoss * targetFraction * targetFraction + COST_PER_PART * parts;
    return new Plan(engines.build(), lastFinishMillis, costValue);
  }

  /** Returns what a placement uses of each engine, in reverse order. */
  private ImmutableList<EngineOption> options(ImmutableList<EngineState> engines) {
    ImmutableList.Builder<EngineOption> options =
        ImmutableList.builderWithExpectedSize(engines.size());
    for (int index = engines.size() - 1; index >= 0; index--) {
      options.add(option(engines.get(index)));
    }
    return options.build();
  }

  /** Returns the longest part that makes no response of an engine late. */
  private double budgetMillis(EngineState engine) {
    double gapBudgetMillis = engine.prefillBudgetMillis(nowMillis);
    return share.isInForce()
        ? Math.min(gapBudgetMillis, engine.firstEventBudgetMillis(nowMillis))
        : gapBudgetMillis;
  }

  private EngineOption option(EngineState engine) {
    double pendingMillis = engine.pendingPrefillMillis(nowMillis);
    double iterationMillis = engine.decodeIterationMillis();
    double valueAtRisk = LATE_VALUE_LOSS * engine.onTimeValue();
    double budgetMillis = budgetMillis(engine);
    boolean inShare = isInShare(engine);
    if (inShare) {
      budgetMillis = Math.min(budgetMillis, share.budgetMillis(pendingMillis, iterationMillis));
    }
    return new EngineOption(
        engine,
        engine.generationCount(),
        pendingMillis + iterationMillis,
        budgetMillis,
        valueAtRisk,
        valueAtRisk * EngineOption.MILLIS_PER_VALUE,
        inShare ? LATE_VALUE_LOSS * share.arrivingValuePerMilli() : 0,
        pendingMillis
            + DECODING_REQUEST_COST_MILLIS * engine.generationCount()
            + coolDownCostMillis(engine));
  }

  private double firstEventMillis(EngineState engine) {
    double iterationMillis =
        Math.max(engine.decodeIterationMillis(), costModel.decodeIterationMillis(1, 0));
    return engine.pendingPrefillMillis(nowMillis)
        + prefillMillis
        + 2 * iterationMillis
        + coolDownCostMillis(engine);
  }

  private double coolDownCostMillis(EngineState engine) {
    return engine.hasCooledDown(nowMillis) ? 0 : COOL_DOWN_COST_MILLIS;
  }

  private static Placement grant(
      ImmutableList<EngineState> chosen, double expectedMillis, long reservedTokens) {
    ImmutableList<ReplicaId> ids =
        chosen.stream()
            .map(engine -> engine.server().id())
            .collect(ImmutableList.toImmutableList());
    return new Placement.Granted(
        ids.get(0),
        ids.subList(1, ids.size()),
        Duration.ofMillis((long) expectedMillis),
        reservedTokens);
  }
}
