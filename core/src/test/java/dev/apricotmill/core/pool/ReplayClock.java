package dev.apricotmill.core.pool;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Virtual time in which actions run in order. */
final class ReplayClock {

  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          Comparator.comparingDouble(Action::atMillis).thenComparingLong(Action::number));
  private double nowMillis;
  private long scheduled;

  private record Action(double atMillis, long number, Runnable action) {}

  void after(double millis, Runnable action) {
    actions.add(new Action(nowMillis + millis, scheduled++, action));
  }

  double nowMillis() {
    return nowMillis;
  }

  long nowNanos() {
    return (long) (nowMillis * TimeUnit.MILLISECONDS.toNanos(1));
  }

  void run() {
    for (Action next = actions.poll(); next != null; next = actions.poll()) {
      nowMillis = next.atMillis();
      next.action().run();
    }
  }
}
