package dev.apricotmill.coordination.memory;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the bytes that all open exchanges of a process buffer together. Thread-safe.
 *
 * <p>Where the budget is used up, the largest revocable account gives way: many small exchanges are
 * served on while one that never ends is given up.
 */
public final class BufferBudget {

  private final long maximumBytes;

  /** The bytes of each open account. */
  @GuardedBy("this")
  private final Map<Account, Long> held = new HashMap<>();

  @GuardedBy("this")
  private long heldBytes;

  /** Creates a budget of {@code maximumBytes}. */
  public BufferBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Opens an account that keeps its bytes until it is closed. */
  public Account open() {
    return open(new Account(Optional.empty()));
  }

  /**
   * Opens an account whose bytes another one may take.
   *
   * @param onRevoked called once, on any thread, when the account was closed for another one; its
   *     exchange must drop what it buffers
   */
  public Account openRevocable(Runnable onRevoked) {
    return open(new Account(Optional.of(onRevoked)));
  }

  private synchronized Account open(Account account) {
    held.put(account, 0L);
    return account;
  }

  /** Returns the bytes that are reserved. */
  public synchronized long heldBytes() {
    return heldBytes;
  }

  private boolean reserve(Account account, long bytes) {
    Optional<Account> revoked = Optional.empty();
    synchronized (this) {
      Long before = held.get(account);
      if (before == null) {
        return false;
      }
      if (heldBytes + bytes > maximumBytes) {
        // An account that is larger than this one will be frees enough for it.
        revoked = findLargerRevocable(before + bytes);
        if (revoked.isEmpty()) {
          return false;
        }
        close(revoked.get());
      }
      add(account, bytes);
    }
    revoked.flatMap(Account::onRevoked).ifPresent(Runnable::run);
    return true;
  }

  private synchronized Optional<Account> findLargerRevocable(long bytes) {
    return held.entrySet().stream()
        .filter(entry -> entry.getKey().onRevoked().isPresent())
        .filter(entry -> entry.getValue() > bytes)
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  private synchronized void add(Account account, long bytes) {
    if (held.computeIfPresent(account, (key, before) -> before + bytes) != null) {
      heldBytes += bytes;
    }
  }

  private synchronized void close(Account account) {
    Long bytes = held.remove(account);
    if (bytes != null) {
      heldBytes -= bytes;
    }
  }

  /** The bytes that one exchange buffers. */
  public final class Account implements AutoCloseable {

    private final Optional<Runnable> onRevoked;

    private Account(Optional<Runnable> onRevoked) {
      this.onRevoked = onRevoked;
    }

    private Optional<Runnable> onRevoked() {
      return onRevoked;
    }

    /**
     * Reserves bytes before they are buffered; returns false and reserves none if they do not fit,
     * or if the account is closed.
     */
    public boolean reserve(long bytes) {
      return BufferBudget.this.reserve(this, bytes);
    }

    /** Adds bytes that are buffered already, whether they fit or not. */
    public void add(long bytes) {
      BufferBudget.this.add(this, bytes);
    }

    /** Returns bytes that are buffered no more. */
    public void release(long bytes) {
      BufferBudget.this.add(this, -bytes);
    }

    /** Returns all bytes; nothing can be reserved after that. */
    @Override
    public void close() {
      BufferBudget.this.close(this);
    }
  }
}
