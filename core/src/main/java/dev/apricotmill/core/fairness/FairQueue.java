package dev.apricotmill.core.fairness;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.RequestId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Start-time fair queue of waiting requests. Customers share by weight and priority, with prompt
 * tokens as the cost.
 *
 * <p>See Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996. Not thread-safe.
 */
public final class FairQueue {

  /** Finish tags to keep, in addition to 2 per queued request, before idle ones are pruned. */
  private static final int TAGS_KEPT_BEFORE_PRUNING = 64;

  private final TreeSet<Entry> order = new TreeSet<>();
  private final Map<RequestId, Entry> entries = new HashMap<>();
  private final Map<CustomerId, Double> finishTags = new HashMap<>();
  private double virtualTime;
  private long nextNumber;

  /** Appends a request; it must not be queued already. */
  public void add(GenerationRequest request) {
    double start = startTag(request.customer());
    finishTags.put(request.customer(), start + request.promptTokens() / share(request));
    Entry entry = new Entry(start, nextNumber, request);
    nextNumber++;
    entries.put(request.id(), entry);
    order.add(entry);
  }

  /** Returns the request to serve next. */
  public Optional<GenerationRequest> peek() {
    return order.isEmpty() ? Optional.empty() : Optional.of(order.first().request);
  }

  /** Removes a request to serve it; returns false if it is not queued. */
  public boolean serve(RequestId id) {
    Entry entry = entries.get(id);
    if (entry == null) {
      return false;
    }
    virtualTime = Math.max(virtualTime, entry.startTag);
    remove(entry);
    pruneIdleCustomers();
    return true;
  }

  /** Removes a request and refunds its customer; returns false if it is not queued. */
  public boolean withdraw(RequestId id) {
    Entry entry = entries.get(id);
    if (entry == null) {
      return false;
    }
    GenerationRequest request = entry.request;
    finishTags.computeIfPresent(
        request.customer(), (customer, tag) -> tag - request.promptTokens() / share(request));
    remove(entry);
    return true;
  }

  /** Returns the waiting prompt tokens that would be served before a new request of a customer. */
  public long tokensBefore(CustomerId customer) {
    double start = startTag(customer);
    long tokens = 0;
    for (Entry entry : order) {
      if (entry.startTag > start) {
        break;
      }
      tokens += entry.request.promptTokens();
    }
    return tokens;
  }

  /** Returns the queued requests in the order of service. */
  public ImmutableList<GenerationRequest> requests() {
    return order.stream().map(entry -> entry.request).collect(ImmutableList.toImmutableList());
  }

  /** Returns whether the request is queued. */
  public boolean contains(RequestId id) {
    return entries.containsKey(id);
  }

  /** Returns the number of queued requests. */
  public int size() {
    return entries.size();
  }

  private void remove(Entry entry) {
    order.remove(entry);
    entries.remove(entry.request.id());
    if (entries.isEmpty()) {
      finishTags.clear();
      virtualTime = 0;
    }
  }

  private void pruneIdleCustomers() {
    if (finishTags.size() > 2 * entries.size() + TAGS_KEPT_BEFORE_PRUNING) {
      finishTags.values().removeIf(tag -> tag <= virtualTime);
    }
  }

  private double startTag(CustomerId customer) {
    return Math.max(virtualTime, finishTags.getOrDefault(customer, 0.0));
  }

  private static double share(GenerationRequest request) {
    return (double) Math.max(1, request.weight()) * request.priority().shareFactor();
  }

  private record Entry(double startTag, long number, GenerationRequest request)
      implements Comparable<Entry> {

    @Override
    public int compareTo(Entry other) {
      int byTag = Double.compare(startTag, other.startTag);
      return byTag != 0 ? byTag : Long.compare(number, other.number);
    }
  }
}
