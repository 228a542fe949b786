package dev.apricotmill.core.steward;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.RequestId;
import java.util.HashMap;
import java.util.Map;

/**
 * Accounts for a replica's KV memory, which is reserved before dispatch and released exactly once.
 *
 * <p>Long prompts leave a headroom that only short and medium prompts may use, unless no other long
 * prompt holds memory. Not thread-safe.
 */
public final class MemoryAccount {

  private final long capacityTokens;
  private final long headroomTokens;
  private final Map<RequestId, Reservation> reservations = new HashMap<>();
  private long reservedTokens;
  private long longReservedTokens;

  /**
   * Creates an empty account.
   *
   * @param capacityTokens the replica's memory in tokens
   * @param headroomTokens the part of it in tokens that long prompts leave free
   */
  public MemoryAccount(long capacityTokens, long headroomTokens) {
    if (capacityTokens < 0 || headroomTokens < 0 || headroomTokens > capacityTokens) {
      throw new IllegalArgumentException(
          "headroomTokens must be from 0 to capacityTokens, got headroomTokens="
              + headroomTokens
              + " and capacityTokens="
              + capacityTokens);
    }
    this.capacityTokens = capacityTokens;
    this.headroomTokens = headroomTokens;
  }

  /** Returns whether a request of that class and size could be reserved now. */
  public boolean fits(LengthClass lengthClass, long tokens) {
    if (tokens > capacityTokens - reservedTokens) {
      return false;
    }
    if (!isLong(lengthClass) || longReservedTokens == 0) {
      return true;
    }
    return longReservedTokens + tokens <= capacityTokens - headroomTokens;
  }

  /**
   * Reserves memory for a request.
   *
   * @return false, without any change, if the memory does not fit or the request already holds some
   */
  public boolean reserve(RequestId request, LengthClass lengthClass, long tokens) {
    if (tokens < 0) {
      throw new IllegalArgumentException("reserved tokens must not be negative, got " + tokens);
    }
    if (reservations.containsKey(request) || !fits(lengthClass, tokens)) {
      return false;
    }
    put(request, new Reservation(tokens, isLong(lengthClass)));
    return true;
  }

  /**
   * Reserves memory that the engine already holds, up to the free memory and regardless of the
   * headroom.
   */
  public void adopt(RequestId request, long tokens) {
    if (!reservations.containsKey(request)) {
      long granted = Math.min(Math.max(0, tokens), freeTokens());
      put(request, new Reservation(granted, isLong(LengthClass.of(tokens))));
    }
  }

  /**
   * Sets a reservation to the engine's own count, limited by the free memory.
   *
   * @return the tokens that are now reserved, or 0 if the request holds none
   */
  public long correct(RequestId request, long tokens) {
    Reservation old = reservations.get(request);
    if (old == null) {
      return 0;
    }
    remove(request, old);
    long granted = Math.min(Math.max(0, tokens), capacityTokens - reservedTokens);
    put(request, new Reservation(granted, old.isLong));
    return granted;
  }

  /** Releases a reservation; returns false if the request holds none. */
  public boolean release(RequestId request) {
    Reservation reservation = reservations.get(request);
    if (reservation == null) {
      return false;
    }
    remove(request, reservation);
    return true;
  }

  /** Returns the tokens reserved for a request, or 0 if it holds none. */
  public long reservedFor(RequestId request) {
    Reservation reservation = reservations.get(request);
    return reservation == null ? 0 : reservation.tokens;
  }

  /** Returns the tokens that are not reserved. */
  public long freeTokens() {
    return capacityTokens - reservedTokens;
  }

  /** Returns the tokens reserved by all requests. */
  public long reservedTokens() {
    return reservedTokens;
  }

  /** Returns the replica's memory in tokens. */
  public long capacityTokens() {
    return capacityTokens;
  }

  /** Returns the number of requests that hold memory. */
  public int size() {
    return reservations.size();
  }

  private void put(RequestId request, Reservation reservation) {
    reservations.put(request, reservation);
    reservedTokens += reservation.tokens;
    if (reservation.isLong) {
      longReservedTokens += reservation.tokens;
    }
  }

  private void remove(RequestId request, Reservation reservation) {
    reservations.remove(request);
    reservedTokens -= reservation.tokens;
    if (reservation.isLong) {
      longReservedTokens -= reservation.tokens;
    }
  }

  private static boolean isLong(LengthClass lengthClass) {
    return lengthClass.isLong();
  }

  private record Reservation(long tokens, boolean isLong) {}
}
