package dev.apricotmill.core.steward;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.RequestId;
import java.util.HashMap;
import java.util.Map;

/**
 * Account of a replica's KV memory: reserved before dispatch and given back exactly once.
 *
 * <p>Long prompts leave a headroom that only short and medium ones may take. Not safe for use by
 * several threads.
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
   * @param capacityTokens the replica's memory
   * @param headroomTokens the part of it that long prompts may not take
   */
  public MemoryAccount(long capacityTokens, long headroomTokens) {
    if (capacityTokens < 0 || headroomTokens < 0 || headroomTokens > capacityTokens) {
      throw new IllegalArgumentException("headroom must lie between zero and the capacity");
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

  /** Reserves memory; returns false, and changes nothing, if it does not fit or is held. */
  public boolean reserve(RequestId request, LengthClass lengthClass, long tokens) {
    if (tokens < 0) {
      throw new IllegalArgumentException("negative reservation");
    }
    if (reservations.containsKey(request) || !fits(lengthClass, tokens)) {
      return false;
    }
    put(request, new Reservation(tokens, isLong(lengthClass)));
    return true;
  }

  /**
   * Takes over memory that the engine already holds, whatever the headroom; it grows only into free
   * memory.
   */
  public void adopt(RequestId request, long tokens) {
    if (!reservations.containsKey(request)) {
      long granted = Math.min(Math.max(0, tokens), freeTokens());
      put(request, new Reservation(granted, isLong(LengthClass.of(tokens))));
    }
  }

  /**
   * Corrects a reservation to the engine's own count; it grows only into free memory.
   *
   * @return the tokens that are now reserved, zero if the request holds none
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

  /** Gives memory back; returns false if the request holds none. */
  public boolean release(RequestId request) {
    Reservation reservation = reservations.get(request);
    if (reservation == null) {
      return false;
    }
    remove(request, reservation);
    return true;
  }

  /** Returns the tokens reserved for a request, zero if it holds none. */
  public long reservedFor(RequestId request) {
    Reservation reservation = reservations.get(request);
    return reservation == null ? 0 : reservation.tokens;
  }

  /** Returns the tokens that are not reserved. */
  public long freeTokens() {
    return capacityTokens - reservedTokens;
  }

  /** Returns the tokens reserved in all. */
  public long reservedTokens() {
    return reservedTokens;
  }

  /** Returns the replica's memory. */
  public long capacityTokens() {
    return capacityTokens;
  }

  /** Returns how many requests hold memory. */
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
