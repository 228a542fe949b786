package dev.apricotmill.testhelpers.demo;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.random.RandomGenerator;

/** Sends requests of all kinds from several callers for some time. */
final class TrialLoad {

  private static final Duration TIME_LIMIT = Duration.ofSeconds(15);
  private static final int ORDERS_OF_TEN = 5;
  private static final int COMPLETIONS_OF_TEN = 4;
  private static final int REPEATS_OF_TEN = 3;
  private static final int LONGEST_PROMPT_CHARACTERS = 40_000;
  private static final int MOST_TOKENS = 60;
  private static final long PAUSE_MILLIS = 20;

  private final TrialArguments arguments;
  private final ImmutableList<String> daemons;
  private final Caller caller = new Caller(TIME_LIMIT);
  private final Queue<TrialCall> calls = new ConcurrentLinkedQueue<>();

  TrialLoad(TrialArguments arguments) {
    this.arguments = arguments;
    this.daemons = ImmutableList.copyOf(arguments.deployment().publicAddresses());
  }

  /** Returns every request after the last has ended. */
  ImmutableList<TrialCall> run() {
    long deadline = System.nanoTime() + arguments.duration().toNanos();
    SplittableRandom random = new SplittableRandom(arguments.seed());
    ExecutorService threads = Executors.newCachedThreadPool();
    List<CompletableFuture<Void>> running = new ArrayList<>();
    for (int index = 0; index < arguments.callers(); index++) {
      SplittableRandom own = random.split();
      running.add(CompletableFuture.runAsync(() -> sendUntil(deadline, own), threads));
    }
    running.forEach(CompletableFuture::join);
    threads.shutdown();
    return ImmutableList.copyOf(calls);
  }

  private void sendUntil(long deadline, SplittableRandom random) {
    TimedKeys keys = new TimedKeys(InstantSource.system(), random);
    while (System.nanoTime() - deadline < 0) {
      int choice = random.nextInt(10);
      if (choice < ORDERS_OF_TEN) {
        order(keys.next(), random);
      } else if (choice < ORDERS_OF_TEN + COMPLETIONS_OF_TEN) {
        completion(random);
      } else {
        String path = "/status/circuits/" + random.nextInt(100);
        note(TrialCall.Kind.READ, path, 0, caller.read(daemon(random), path));
      }
      Waiting.pause(PAUSE_MILLIS);
    }
  }

  /** Sends an order, and sometimes its key again, as a caller does who got no answer. */
  private void order(String key, RandomGenerator random) {
    String path = "/orders/circuits/" + random.nextInt(100) + "/off";
    CallResult first = caller.order(daemon(random), path, key);
    note(TrialCall.Kind.ORDER, key, 0, first);
    if (first.isBroken() || random.nextInt(10) < REPEATS_OF_TEN) {
      note(TrialCall.Kind.ORDER, key, 0, caller.order(daemon(random), path, key));
    }
  }

  private void completion(RandomGenerator random) {
    int length = 20 + random.nextInt(LONGEST_PROMPT_CHARACTERS);
    String prompt = random.nextLong() + " " + "p".repeat(length);
    int tokens = 1 + random.nextInt(MOST_TOKENS);
    CallResult result = caller.streamCompletion(daemon(random), prompt, tokens);
    note(TrialCall.Kind.COMPLETION, prompt, tokens, result);
  }

  private String daemon(RandomGenerator random) {
    return daemons.get(random.nextInt(daemons.size()));
  }

  private void note(TrialCall.Kind kind, String subject, int tokens, CallResult result) {
    calls.add(new TrialCall(kind, subject, tokens, result));
  }
}
