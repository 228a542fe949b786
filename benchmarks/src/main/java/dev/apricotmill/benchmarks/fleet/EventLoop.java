package dev.apricotmill.benchmarks.fleet;

import java.util.PriorityQueue;

/** Runs actions in the order of virtual time; equal times in the order of scheduling. */
public final class EventLoop {

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long nextNumber;

  /** Returns the virtual time. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Runs an action after a delay. */
  public void after(long delayNanos, Runnable action) {
    at(nowNanos + Math.max(0, delayNanos), action);
  }

  /** Runs an action at a time, or now if it has passed. */
  public void at(long atNanos, Runnable action) {
    events.add(new Event(Math.max(nowNanos, atNanos), nextNumber, action));
    nextNumber++;
  }

  /** Runs everything until no event is left or the time is over. */
  public void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
      Event event = events.remove();
      nowNanos = event.atNanos;
      event.action.run();
    }
    nowNanos = Math.max(nowNanos, endNanos);
  }

  private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }
}
