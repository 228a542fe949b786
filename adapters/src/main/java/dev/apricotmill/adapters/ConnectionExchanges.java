package dev.apricotmill.adapters;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Method;
import org.jspecify.annotations.Nullable;

/**
 * The exchanges that one connection has carried: no identifier goes over it twice, and a response
 * that comes after the end of its exchange is recognized. Thread-safe.
 */
final class ConnectionExchanges {

  /** Bounds the memory of a connection; one that has carried as many exchanges is closed. */
  static final int MAXIMUM_EXCHANGES = 256;

  private static final int INITIAL_CAPACITY = 8;

  private long[] carried = new long[INITIAL_CAPACITY];
  private int carriedCount;
  private long exchangeCount;
  private int lateResponses;
  private boolean lateResponsesTellLength = true;
  private @Nullable String header;
  private boolean open;
  private @Nullable String currentId;

  /** Records the start of an exchange; returns false if the connection must not carry it. */
  synchronized boolean tryBegin(HttpCall call) {
    // The length of a response to HEAD is that of a body that does not follow.
    lateResponsesTellLength &= !Method.HEAD.isSame(call.method());
    if (!call.exchangeId().map(this::tryBegin).orElse(true)) {
      return false;
    }
    exchangeCount++;
    open = true;
    return true;
  }

  /** Records that the exchange that was begun last will send nothing. */
  synchronized void cancelBegin() {
    exchangeCount--;
    if (currentId != null) {
      carriedCount--;
    }
    end();
  }

  private boolean tryBegin(ExchangeId id) {
    long hash = hash(id.value());
    if (hasCarried(hash) || isExhausted() || (exchangeCount > 0 && !id.named())) {
      return false;
    }
    if (carriedCount == carried.length) {
      carried = Arrays.copyOf(carried, 2 * carriedCount);
    }
    carried[carriedCount++] = hash;
    currentId = id.value();
    header = id.header();
    return true;
  }

  /** Returns whether the response to an exchange is due. */
  synchronized boolean isOpen() {
    return open;
  }

  /** Returns whether the current exchange is the only one that the connection has carried. */
  synchronized boolean isFirst() {
    return exchangeCount == 1;
  }

  /** Records that the response to the last exchange is complete. */
  synchronized void end() {
    open = false;
    currentId = null;
  }

  /** Returns whether the connection must not carry further exchanges. */
  synchronized boolean isExhausted() {
    return carriedCount == MAXIMUM_EXCHANGES;
  }

  /**
   * Counts a response that is one more to an exchange that has ended, and returns the identifier
   * that it names; empty for others. No more are counted than exchanges were carried.
   */
  synchronized Optional<String> takeLateResponse(HttpResponse response) {
    Header named = header == null ? null : response.getFirstHeader(header);
    String id = named == null ? null : named.getValue();
    if (id == null
        || id.equals(currentId)
        || !hasCarried(hash(id))
        || !lateResponsesTellLength
        || lateResponses >= carriedCount) {
      return Optional.empty();
    }
    lateResponses++;
    return Optional.of(id);
  }

  private boolean hasCarried(long hash) {
    for (int i = 0; i < carriedCount; i++) {
      if (carried[i] == hash) {
        return true;
      }
    }
    return false;
  }

  private static long hash(String id) {
    return Hashing.sipHash24().hashString(id, StandardCharsets.UTF_8).asLong();
  }
}
