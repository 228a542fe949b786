package dev.apricotmill.testhelpers.fault;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Decides which call of which operation goes wrong, and how.
 *
 * @param <O> the operations of the stand-in
 */
public final class FaultSwitch<O extends Enum<O>> {

  private final Map<O, Deque<Fault>> next;
  private final Map<O, Fault> lasting;
  private final Map<O, Integer> calls;

  /** Creates a switch with no fault set. */
  public FaultSwitch(Class<O> operations) {
    this.next = new EnumMap<>(operations);
    this.lasting = new EnumMap<>(operations);
    this.calls = new EnumMap<>(operations);
  }

  /** Lets the next call go wrong, after those already set. */
  public synchronized void once(O operation, Fault fault) {
    next.computeIfAbsent(operation, key -> new ArrayDeque<>()).add(fault);
  }

  /** Lets every call go wrong until {@link #clear}. */
  public synchronized void always(O operation, Fault fault) {
    lasting.put(operation, fault);
  }

  /** Removes the faults of an operation. */
  public synchronized void clear(O operation) {
    next.remove(operation);
    lasting.remove(operation);
  }

  /** Returns the fault of a call that is made now. */
  public synchronized Fault take(O operation) {
    calls.merge(operation, 1, Integer::sum);
    Deque<Fault> queued = next.get(operation);
    if (queued != null && !queued.isEmpty()) {
      return queued.remove();
    }
    return lasting.getOrDefault(operation, Fault.NONE);
  }

  /** Returns how many calls of an operation have come. */
  public synchronized int calls(O operation) {
    return calls.getOrDefault(operation, 0);
  }
}
