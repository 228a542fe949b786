package dev.apricotmill.daemon.http;

import dev.apricotmill.coordination.memory.BufferBudget;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The memory that all clients of a process hold: connections, heads, bodies, requests that were
 * sent ahead, and responses that are not read yet. All listeners of a process share it.
 */
public final class CallerMemory {

  /**
   * Heap of one connection: three buffers of {@link #CONNECTION_BUFFER_BYTES}, and the objects of
   * the HTTP library and of the listener.
   */
  static final int CONNECTION_BYTES = 16 << 10;

  /** The library's default of 8 KB takes 24 KB for each connection, whether it is used or not. */
  static final int CONNECTION_BUFFER_BYTES = 2 << 10;

  /** Requests of a connection that are read before the first of them is answered. */
  static final int MAX_UNANSWERED_REQUESTS = 4;

  /** Objects of one exchange, without its head and body. */
  static final int EXCHANGE_BYTES = 4 << 10;

  /** A head is held as characters of two bytes and as the strings of its fields. */
  static final int MEMORY_PER_HEAD_BYTE = 4;

  /** The rest is for configuration, servers, responses of servers and messages between nodes. */
  private static final int HEAP_PER_CALLER_MEMORY = 4;

  /** Connections may not take the memory that their requests need. */
  private static final int MEMORY_PER_CONNECTION_MEMORY = 2;

  private final long maximumBytes;
  private final BufferBudget budget;
  private final AtomicLong connectionBytes = new AtomicLong();
  private final Consumer<ClientLimit> onLimit;

  /**
   * Creates a budget.
   *
   * @param onLimit called for each client that was refused or closed at a limit; must not block
   */
  public CallerMemory(long maximumBytes, Consumer<ClientLimit> onLimit) {
    this.maximumBytes = maximumBytes;
    this.onLimit = onLimit;
    budget = new BufferBudget(maximumBytes);
  }

  /** Creates a budget of a part of the heap. */
  public static CallerMemory ofHeap(Consumer<ClientLimit> onLimit) {
    return new CallerMemory(Runtime.getRuntime().maxMemory() / HEAP_PER_CALLER_MEMORY, onLimit);
  }

  /** Creates a budget that suffices for all that the limits of one listener allow. */
  static CallerMemory of(ServerLimits limits) {
    long perConnection =
        (long) CONNECTION_BYTES * MEMORY_PER_CONNECTION_MEMORY
            + MAX_UNANSWERED_REQUESTS
                * (EXCHANGE_BYTES + (long) MEMORY_PER_HEAD_BYTE * limits.maximumHeaderBytes());
    return new CallerMemory(
        2 * limits.maximumBufferedBytes()
            + perConnection * ConnectionTable.HARD_LIMIT_FACTOR * limits.maximumConnections(),
        limit -> {});
  }

  /** Returns the size of the budget. */
  public long maximumBytes() {
    return maximumBytes;
  }

  /** Returns the bytes that are in use. */
  public long heldBytes() {
    return budget.heldBytes();
  }

  /** Returns the number of connections for which there is memory. */
  public int maximumConnections() {
    return (int)
        Math.min(Integer.MAX_VALUE, maximumBytes / MEMORY_PER_CONNECTION_MEMORY / CONNECTION_BYTES);
  }

  BufferBudget budget() {
    return budget;
  }

  void report(ClientLimit limit) {
    onLimit.accept(limit);
  }

  /** Returns the account of a new connection; empty if connections hold their part already. */
  Optional<BufferBudget.Account> openConnection() {
    if (connectionBytes.addAndGet(CONNECTION_BYTES) > maximumBytes / MEMORY_PER_CONNECTION_MEMORY) {
      connectionBytes.addAndGet(-CONNECTION_BYTES);
      return Optional.empty();
    }
    BufferBudget.Account account = budget.open();
    account.add(CONNECTION_BYTES);
    return Optional.of(account);
  }

  void closeConnection(BufferBudget.Account account) {
    account.close();
    connectionBytes.addAndGet(-CONNECTION_BYTES);
  }
}
