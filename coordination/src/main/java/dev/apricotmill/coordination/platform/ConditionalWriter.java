package dev.apricotmill.coordination.platform;

import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.coordination.time.Delays;
import dev.apricotmill.coordination.time.Timing;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

/**
 * Updates objects conditionally and resolves updates whose response was lost.
 *
 * <p>A missing response says nothing about the outcome, so the writer reads the object again. If
 * its version has changed, the update can no longer take effect, since it expects the old version.
 * If the version is unchanged, the writer writes the old value again, conditional on the old
 * version. This advances the version, so the lost update fails its precondition even if it arrives
 * later.
 */
public final class ConditionalWriter {

  private static final int MAX_CREATE_ATTEMPTS = 4;

  private final Timing timing;
  private final Platform platform;
  private final WriterSettings settings;
  private final RandomGenerator random;

  /** Creates a writer; {@code random} must be thread-safe. */
  public ConditionalWriter(
      Timing timing, Platform platform, WriterSettings settings, RandomGenerator random) {
    this.timing = timing;
    this.platform = platform;
    this.settings = settings;
    this.random = random;
  }

  /** Replaces the value of {@code current} if the object still has that version. */
  public CompletionStage<UpdateResult> update(StoredObject current, byte[] newValue) {
    Deadline deadline = timing.deadlineAfter(settings.resolveTimeout());
    return put(current, newValue)
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Written written) {
                return done(
                    new UpdateResult.Written(
                        new StoredObject(current.key(), written.version(), newValue)));
              }
              if (result instanceof WriteResult.NotWritten refused) {
                return done(new UpdateResult.NotWritten(refused.failure()));
              }
              if (result instanceof WriteResult.Conflict) {
                return readAfterConflict(current.key());
              }
              return resolve(current, deadline, 0);
            });
  }

  /** Reads the object, creating it with {@code initialValue} if it does not exist. */
  public CompletionStage<ReadResult> readOrCreate(ObjectKey key, byte[] initialValue) {
    return readOrCreate(key, initialValue, MAX_CREATE_ATTEMPTS);
  }

  private CompletionStage<ReadResult> readOrCreate(
      ObjectKey key, byte[] initialValue, int attemptsLeft) {
    return platform
        .get(key, settings.callTimeout())
        .thenCompose(
            result ->
                result instanceof ReadResult.NotFound
                    ? create(key, initialValue, attemptsLeft)
                    : CompletableFuture.completedFuture(result));
  }

  private CompletionStage<ReadResult> create(ObjectKey key, byte[] initialValue, int attemptsLeft) {
    if (attemptsLeft == 0) {
      return CompletableFuture.completedFuture(
          new ReadResult.Unavailable(PlatformFailure.NO_ANSWER));
    }
    return platform
        .put(key, initialValue, Precondition.absent(), settings.callTimeout())
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Written written) {
                return CompletableFuture.completedFuture(
                    new ReadResult.Found(new StoredObject(key, written.version(), initialValue)));
              }
              if (result instanceof WriteResult.NotWritten refused) {
                return CompletableFuture.completedFuture(
                    new ReadResult.Unavailable(refused.failure()));
              }
              return readOrCreate(key, initialValue, attemptsLeft - 1);
            });
  }

  private CompletionStage<WriteResult> put(StoredObject current, byte[] value) {
    return platform.put(
        current.key(), value, Precondition.versionIs(current.version()), settings.callTimeout());
  }

  private CompletionStage<UpdateResult> readAfterConflict(ObjectKey key) {
    return platform
        .get(key, settings.callTimeout())
        .thenApply(
            result -> {
              if (result instanceof ReadResult.Found found) {
                return new UpdateResult.VersionChanged(found.object());
              }
              return new UpdateResult.NotWritten(failureOf(result));
            });
  }

  private CompletionStage<UpdateResult> resolve(
      StoredObject current, Deadline deadline, int failures) {
    return platform
        .get(current.key(), settings.callTimeout())
        .thenCompose(
            result -> {
              if (result instanceof ReadResult.Found found) {
                return found.object().version() == current.version()
                    ? advanceVersion(current, deadline, failures)
                    : done(new UpdateResult.VersionChanged(found.object()));
              }
              return resolveAfterBackoff(current, deadline, failures, failureOf(result));
            });
  }

  /** Writes the old value again, so that the lost update fails its precondition. */
  private CompletionStage<UpdateResult> advanceVersion(
      StoredObject current, Deadline deadline, int failures) {
    return put(current, current.value())
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Written written) {
                return done(
                    new UpdateResult.VersionChanged(
                        new StoredObject(current.key(), written.version(), current.value())));
              }
              if (result instanceof WriteResult.Conflict) {
                return resolve(current, deadline, failures);
              }
              return resolveAfterBackoff(current, deadline, failures, PlatformFailure.NO_ANSWER);
            });
  }

  private CompletionStage<UpdateResult> resolveAfterBackoff(
      StoredObject current, Deadline deadline, int failures, PlatformFailure failure) {
    if (deadline.hasPassed(timing.nanoTime())) {
      return done(new UpdateResult.Undetermined(failure));
    }
    return Delays.after(
        timing,
        settings.backoff().delay(failures + 1, random),
        () -> resolve(current, deadline, failures + 1));
  }

  private static PlatformFailure failureOf(ReadResult result) {
    return result instanceof ReadResult.Unavailable unavailable
        ? unavailable.failure()
        : PlatformFailure.MALFORMED_ANSWER;
  }

  private static CompletionStage<UpdateResult> done(UpdateResult result) {
    return CompletableFuture.completedFuture(result);
  }
}
