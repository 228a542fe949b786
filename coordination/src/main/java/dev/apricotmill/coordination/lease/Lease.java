package dev.apricotmill.coordination.lease;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.ConditionalWriter;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.UpdateResult;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.coordination.time.Timing;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * A lease that one of several processes holds at a time, as far as clocks allow. Each holder gets a
 * fencing number, by which receivers of its orders detect an outdated holder.
 *
 * <p>The holder renews the lease by conditional updates. It stops acting as the holder when it
 * could not renew the lease in time, by its own monotonic clock. Another process takes over after
 * it has seen the same version of the object for the whole duration, by its own monotonic clock;
 * wall clocks are never compared. A holder that was paused may still consider itself the holder
 * when it resumes. Safety therefore depends on the fencing number alone. It is the object's version
 * at the acquisition, so each holder has a higher number than all earlier ones, and receivers
 * refuse orders with a lower number.
 */
public final class Lease implements AutoCloseable {

  private static final System.Logger LOGGER = System.getLogger(Lease.class.getName());

  private final Timing timing;
  private final Platform platform;
  private final LeaseSettings settings;
  private final ConditionalWriter writer;
  private final ObjectKey key;
  private final Incarnation self;
  private final LeaseListener listener;
  private final RandomGenerator random;
  private final AtomicReference<LeaseState> state =
      new AtomicReference<>(new LeaseState.NotHeld(Optional.empty()));
  private final Object lock = new Object();

  @GuardedBy("lock")
  private String nonce = "";

  @GuardedBy("lock")
  private long observedVersion;

  @GuardedBy("lock")
  private long observedAtNanos;

  @GuardedBy("lock")
  private boolean closed;

  /**
   * Creates a lease that is not acquired before {@link #start}.
   *
   * @param timing the clocks and the scheduler
   * @param platform the platform's object store
   * @param settings durations and timeouts
   * @param random the source of nonces and jitter, safe for use by several threads
   * @param key the object in which the lease is stored
   * @param self this process; a new incarnation needs a new {@code Lease}
   * @param listener is notified of changes; called under a lock, so it must not block
   */
  public Lease(
      Timing timing,
      Platform platform,
      LeaseSettings settings,
      RandomGenerator random,
      ObjectKey key,
      Incarnation self,
      LeaseListener listener) {
    this.timing = timing;
    this.platform = platform;
    this.settings = settings;
    this.random = random;
    this.key = key;
    this.self = self;
    this.listener = listener;
    this.writer = new ConditionalWriter(timing, platform, settings.writer(), random);
  }

  /** Starts to acquire the lease and to renew it. */
  public void start() {
    poll();
  }

  /** Returns the state; a lease that has expired on this process's clock is not held. */
  public LeaseState state() {
    LeaseState current = state.get();
    return current instanceof LeaseState.Held held && held.until().hasPassed(timing.nanoTime())
        ? new LeaseState.NotHeld(Optional.of(self))
        : current;
  }

  /** Returns the number that every order must carry, empty if this process must send no orders. */
  public OptionalLong fencingNumber() {
    return state() instanceof LeaseState.Held held
        ? OptionalLong.of(held.fencingNumber())
        : OptionalLong.empty();
  }

  /**
   * Releases the lease, so that another process need not wait for its expiry, and stops polling.
   */
  @Override
  public void close() {
    boolean held;
    synchronized (lock) {
      closed = true;
      held = state.get() instanceof LeaseState.Held;
      lose(Optional.empty());
    }
    if (held) {
      platform.get(key, settings.writer().callTimeout()).thenAccept(this::release);
    }
  }

  private void release(ReadResult result) {
    if (result instanceof ReadResult.Found found && isOwnRecord(found.object())) {
      writer.update(found.object(), LeaseRecord.free().encode());
    }
  }

  private void poll() {
    synchronized (lock) {
      if (closed) {
        return;
      }
    }
    writer.readOrCreate(key, LeaseRecord.free().encode()).thenAccept(this::onRead);
  }

  private void onRead(ReadResult result) {
    if (!(result instanceof ReadResult.Found found)) {
      synchronized (lock) {
        loseIfExpired();
      }
      schedulePoll();
      return;
    }
    Optional<LeaseRecord> record = LeaseRecord.decode(found.object().value());
    if (isOwnRecord(found.object()) || isAvailable(found.object(), record)) {
      acquireOrRenew(found.object());
      return;
    }
    synchronized (lock) {
      lose(record.flatMap(LeaseRecord::heldBy));
    }
    schedulePoll();
  }

  /** Returns whether the lease is free, or was not renewed for its duration on this clock. */
  private boolean isAvailable(StoredObject object, Optional<LeaseRecord> record) {
    synchronized (lock) {
      long now = timing.nanoTime();
      if (observedVersion != object.version()) {
        observedVersion = object.version();
        observedAtNanos = now;
      }
      long durationNanos =
          Math.max(
              settings.duration().toNanos(),
              record.map(LeaseRecord::durationMillis).orElse(0L) * 1_000_000);
      boolean free = record.map(LeaseRecord::isFree).orElse(false);
      return free || now - observedAtNanos >= durationNanos;
    }
  }

  /**
   * Writes the record with the nonce of this tenure. The duration counts from before the write,
   * since the write may take effect at any time after that.
   */
  private void acquireOrRenew(StoredObject object) {
    long startNanos = timing.nanoTime();
    byte[] record;
    synchronized (lock) {
      if (closed) {
        return;
      }
      if (!isOwnRecord(object)) {
        nonce = newNonce();
      }
      record =
          new LeaseRecord(
                  self.daemon().name(), self.number(), nonce, settings.duration().toMillis())
              .encode();
    }
    writer.update(object, record).thenAccept(result -> onUpdate(result, startNanos));
  }

  private void onUpdate(UpdateResult result, long startNanos) {
    if (result instanceof UpdateResult.Written written) {
      confirmHeld(written.object(), startNanos);
    } else if (result instanceof UpdateResult.VersionChanged moved) {
      if (isOwnRecord(moved.current())) {
        confirmHeld(moved.current(), startNanos);
      } else {
        synchronized (lock) {
          lose(LeaseRecord.decode(moved.current().value()).flatMap(LeaseRecord::heldBy));
        }
        schedulePoll();
      }
    } else {
      synchronized (lock) {
        loseIfExpired();
      }
      schedulePoll();
    }
  }

  private void confirmHeld(StoredObject object, long startNanos) {
    synchronized (lock) {
      Deadline until = new Deadline(startNanos + settings.duration().toNanos());
      boolean inTime = !until.hasPassed(timing.nanoTime());
      if (closed || !inTime) {
        loseIfExpired();
      } else if (state() instanceof LeaseState.Held held) {
        state.set(new LeaseState.Held(held.fencingNumber(), until));
      } else {
        loseIfExpired();
        LeaseState.Held held = new LeaseState.Held(object.version(), until);
        state.set(held);
        LOGGER.log(
            System.Logger.Level.INFO,
            "lease: holds {0} with fencing number {1}",
            key,
            object.version());
        listener.onAcquired(held);
      }
      timing.schedule(until.remaining(timing.nanoTime()), this::checkExpiry);
    }
    timing.schedule(settings.renewInterval(), this::poll);
  }

  private void checkExpiry() {
    synchronized (lock) {
      loseIfExpired();
    }
  }

  @GuardedBy("lock")
  private void loseIfExpired() {
    if (!(state() instanceof LeaseState.Held)) {
      lose(Optional.empty());
    }
  }

  @GuardedBy("lock")
  private void lose(Optional<Incarnation> holder) {
    LeaseState previous = state.getAndSet(new LeaseState.NotHeld(holder));
    if (previous instanceof LeaseState.Held) {
      LOGGER.log(System.Logger.Level.INFO, "lease: lost {0}", key);
      listener.onLost();
    }
  }

  private boolean isOwnRecord(StoredObject object) {
    synchronized (lock) {
      return !nonce.isEmpty()
          && LeaseRecord.decode(object.value())
              .filter(record -> record.nonce().equals(nonce))
              .isPresent();
    }
  }

  private void schedulePoll() {
    timing.schedule(settings.pollInterval(), this::poll);
  }

  private String newNonce() {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }
}
