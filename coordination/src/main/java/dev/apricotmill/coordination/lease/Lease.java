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
 * Lets one of several processes hold a duty at a time, as far as clocks allow, and numbers the
 * holders, so that what they order can be checked beyond that.
 *
 * <p>The holder renews the lease by conditional updates and stops by itself when its own monotonic
 * clock says that it could not renew in time. Another process takes over when it saw the same
 * version for the whole duration on its own monotonic clock; wall clocks are never compared. A
 * holder that freezes may still believe in its lease when it wakes up. Safety therefore rests on
 * the fencing number alone: it is the object's version at the time of the acquisition, so that
 * every holder's number is higher than those before, and receivers refuse lower ones.
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
   * Makes a lease that does not try to be acquired yet.
   *
   * @param timing time and the scheduler
   * @param platform the platform's store
   * @param settings the times
   * @param random the source of nonces and jitter, safe for use by several threads
   * @param key the object that stands for the lease
   * @param self this process; a new incarnation needs a new lease object
   * @param listener is told of changes; called under a lock, so it must not block
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

  /** Begins to try to acquire the lease and to renew it. */
  public void start() {
    look();
  }

  /** Returns the state; a lease whose time is over is not held, whatever the platform says. */
  public LeaseState state() {
    LeaseState known = state.get();
    return known instanceof LeaseState.Held held && held.until().hasPassed(timing.nanoTime())
        ? new LeaseState.NotHeld(Optional.of(self))
        : known;
  }

  /** Returns the number that every order must carry, empty if this process must give none. */
  public OptionalLong fencingNumber() {
    return state() instanceof LeaseState.Held held
        ? OptionalLong.of(held.fencingNumber())
        : OptionalLong.empty();
  }

  /** Gives the lease up, so that another process need not wait for its end, and stops trying. */
  @Override
  public void close() {
    boolean held;
    synchronized (lock) {
      closed = true;
      held = state.get() instanceof LeaseState.Held;
      lose(Optional.empty());
    }
    if (held) {
      platform.get(key, settings.writer().callTimeout()).thenAccept(this::giveUp);
    }
  }

  private void giveUp(ReadResult result) {
    if (result instanceof ReadResult.Found found && isOwn(found.object())) {
      writer.update(found.object(), LeaseRecord.free().encode());
    }
  }

  private void look() {
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
        loseIfOver();
      }
      lookLater();
      return;
    }
    Optional<LeaseRecord> record = LeaseRecord.decode(found.object().value());
    if (isOwn(found.object()) || isUp(found.object(), record)) {
      acquireOrRenew(found.object());
      return;
    }
    synchronized (lock) {
      lose(record.flatMap(LeaseRecord::heldBy));
    }
    lookLater();
  }

  /** Returns whether the lease is free or was not renewed for its duration on this clock. */
  private boolean isUp(StoredObject object, Optional<LeaseRecord> record) {
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

  /** Writes the record under a fixed nonce; the lease counts from before the write. */
  private void acquireOrRenew(StoredObject object) {
    long startNanos = timing.nanoTime();
    byte[] record;
    synchronized (lock) {
      if (closed) {
        return;
      }
      if (!isOwn(object)) {
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
      hold(written.object(), startNanos);
    } else if (result instanceof UpdateResult.VersionChanged moved) {
      if (isOwn(moved.current())) {
        hold(moved.current(), startNanos);
      } else {
        synchronized (lock) {
          lose(LeaseRecord.decode(moved.current().value()).flatMap(LeaseRecord::heldBy));
        }
        lookLater();
      }
    } else {
      synchronized (lock) {
        loseIfOver();
      }
      lookLater();
    }
  }

  private void hold(StoredObject object, long startNanos) {
    synchronized (lock) {
      Deadline until = new Deadline(startNanos + settings.duration().toNanos());
      boolean inTime = !until.hasPassed(timing.nanoTime());
      if (closed || !inTime) {
        loseIfOver();
      } else if (state() instanceof LeaseState.Held held) {
        state.set(new LeaseState.Held(held.fencingNumber(), until));
      } else {
        loseIfOver();
        LeaseState.Held held = new LeaseState.Held(object.version(), until);
        state.set(held);
        LOGGER.log(System.Logger.Level.INFO, "lease: holds {0} as {1}", key, object.version());
        listener.onAcquired(held);
      }
      timing.schedule(until.remaining(timing.nanoTime()), this::checkEnd);
    }
    timing.schedule(settings.renewInterval(), this::look);
  }

  private void checkEnd() {
    synchronized (lock) {
      loseIfOver();
    }
  }

  @GuardedBy("lock")
  private void loseIfOver() {
    if (!(state() instanceof LeaseState.Held)) {
      lose(Optional.empty());
    }
  }

  @GuardedBy("lock")
  private void lose(Optional<Incarnation> holder) {
    LeaseState before = state.getAndSet(new LeaseState.NotHeld(holder));
    if (before instanceof LeaseState.Held) {
      LOGGER.log(System.Logger.Level.INFO, "lease: lost {0}", key);
      listener.onLost();
    }
  }

  private boolean isOwn(StoredObject object) {
    synchronized (lock) {
      return !nonce.isEmpty()
          && LeaseRecord.decode(object.value())
              .filter(record -> record.nonce().equals(nonce))
              .isPresent();
    }
  }

  private void lookLater() {
    timing.schedule(settings.pollInterval(), this::look);
  }

  private String newNonce() {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }
}
