package dev.apricotmill.core.steward;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.fairness.FairQueue;
import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.RequestId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * One fair queue for each length class, and the order between the classes.
 *
 * <p>Shorter classes go first. A class whose head has waited beyond its aging threshold moves one
 * place ahead, but a long prompt never goes before a short or medium one. Not thread-safe.
 */
final class WaitingQueues {

  private final Map<RequestId, WaitingRequest> waiting = new LinkedHashMap<>();
  private final EnumMap<LengthClass, FairQueue> queues = new EnumMap<>(LengthClass.class);

  WaitingQueues() {
    for (LengthClass lengthClass : LengthClass.values()) {
      queues.put(lengthClass, new FairQueue());
    }
  }

  void add(WaitingRequest added) {
    waiting.put(added.request().id(), added);
    queue(added.lengthClass()).add(added.request());
  }

  boolean contains(RequestId id) {
    return waiting.containsKey(id);
  }

  /** Removes a request that is dispatched. */
  void serve(WaitingRequest served) {
    waiting.remove(served.request().id());
    queue(served.lengthClass()).serve(served.request().id());
  }

  /** Removes a request without dispatching it; returns false if it is not in the queue. */
  boolean withdraw(RequestId id) {
    WaitingRequest removed = waiting.remove(id);
    return removed != null && queue(removed.lengthClass()).withdraw(id);
  }

  Collection<WaitingRequest> all() {
    return Collections.unmodifiableCollection(waiting.values());
  }

  int size() {
    return waiting.size();
  }

  /** Returns the requests of a class in dispatch order. */
  ImmutableList<WaitingRequest> inOrder(LengthClass lengthClass) {
    return queue(lengthClass).requests().stream()
        .map(request -> waitingRequest(request.id()))
        .collect(ImmutableList.toImmutableList());
  }

  Optional<WaitingRequest> head(LengthClass lengthClass) {
    return queue(lengthClass).peek().map(request -> waitingRequest(request.id()));
  }

  /** Returns the classes in their current dispatch order. */
  List<LengthClass> classesInOrder(long nowNanos) {
    List<LengthClass> order = new ArrayList<>(List.of(LengthClass.values()));
    swapIfAged(order, LengthClass.SHORT, LengthClass.MEDIUM, nowNanos);
    swapIfAged(order, LengthClass.LONG, LengthClass.HUGE, nowNanos);
    return order;
  }

  /** Returns the waiting prompt tokens that are served before a new request. */
  long tokensBefore(LengthClass lengthClass, CustomerId customer) {
    long tokens = queue(lengthClass).tokensBefore(customer);
    for (LengthClass shorter : LengthClass.values()) {
      if (shorter.compareTo(lengthClass) < 0) {
        tokens += tokens(shorter);
      }
    }
    return tokens;
  }

  /** Returns the waiting prompt tokens of a class. */
  long tokens(LengthClass lengthClass) {
    long tokens = 0;
    for (GenerationRequest request : queue(lengthClass).requests()) {
      tokens += request.promptTokens();
    }
    return tokens;
  }

  /** Returns the number of waiting requests of a class. */
  int count(LengthClass lengthClass) {
    return queue(lengthClass).size();
  }

  private void swapIfAged(
      List<LengthClass> order, LengthClass shorter, LengthClass longer, long nowNanos) {
    if (head(longer).filter(entry -> entry.isAged(nowNanos)).isPresent()) {
      Collections.swap(order, order.indexOf(shorter), order.indexOf(longer));
    }
  }

  private FairQueue queue(LengthClass lengthClass) {
    @Nullable FairQueue queue = queues.get(lengthClass);
    if (queue == null) {
      throw new IllegalStateException("no queue for length class " + lengthClass);
    }
    return queue;
  }

  private WaitingRequest waitingRequest(RequestId id) {
    @Nullable WaitingRequest found = waiting.get(id);
    if (found == null) {
      throw new IllegalStateException(
          "queued request " + id + " is missing from the waiting requests");
    }
    return found;
  }
}
