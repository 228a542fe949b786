package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.platform.ConditionalWriter;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.UpdateResult;
import dev.apricotmill.coordination.platform.WriteResult;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * Writes one change to the platform: first its parts, then the history entry of the configuration
 * that it replaces, then the head.
 *
 * <p>Only the update of the head accepts the change. All objects written before it are immutable
 * and named by their content or by an accepted generation, so a proposal that stops halfway has no
 * effect on the current configuration.
 */
final class ConfigurationProposal {

  private static final int MAX_HEAD_ATTEMPTS = 4;
  private static final int MAX_PART_ATTEMPTS = 3;

  private final Platform platform;
  private final ConditionalWriter writer;
  private final Duration callTimeout;
  private final ConfigurationChange change;
  private final ConfigurationHead proposed;

  ConfigurationProposal(
      Platform platform,
      ConditionalWriter writer,
      Duration callTimeout,
      ConfigurationChange change,
      Instant instant) {
    this.platform = platform;
    this.writer = writer;
    this.callTimeout = callTimeout;
    this.change = change;
    this.proposed = newHead(change, instant);
  }

  CompletionStage<ChangeResult> run() {
    return change.parts().entrySet().stream()
        .filter(entry -> entry.getValue().size() > Platform.MAX_VALUE_BYTES)
        .findFirst()
        .<CompletionStage<ChangeResult>>map(
            entry -> done(new ChangeResult.PartTooLarge(entry.getKey(), entry.getValue().size())))
        .orElseGet(() -> attempt(MAX_HEAD_ATTEMPTS));
  }

  private CompletionStage<ChangeResult> attempt(int attemptsLeft) {
    if (attemptsLeft == 0) {
      return unavailable(PlatformFailure.NO_ANSWER);
    }
    return writer
        .readOrCreate(ConfigurationKeys.HEAD, HeadCodec.encode(ConfigurationHead.none()))
        .thenCompose(
            result -> {
              if (result instanceof ReadResult.Found found) {
                return withHead(
                    found.object(), head -> writeIfExpected(found.object(), head, attemptsLeft));
              }
              return unavailable(
                  result instanceof ReadResult.Unavailable failed
                      ? failed.failure()
                      : PlatformFailure.MALFORMED_ANSWER);
            });
  }

  private CompletionStage<ChangeResult> writeIfExpected(
      StoredObject object, ConfigurationHead head, int attemptsLeft) {
    if (head.generation() != change.expectedGeneration()) {
      return resolveOutcome(head);
    }
    return writePrerequisites(head)
        .thenCompose(
            failure ->
                failure.isPresent()
                    ? unavailable(failure.get())
                    : updateHead(object, attemptsLeft));
  }

  private CompletionStage<ChangeResult> updateHead(StoredObject object, int attemptsLeft) {
    return writer
        .update(object, HeadCodec.encode(proposed))
        .thenCompose(
            result -> {
              if (result instanceof UpdateResult.Written) {
                return done(new ChangeResult.Accepted(proposed));
              }
              if (result instanceof UpdateResult.NotWritten refused) {
                return unavailable(refused.failure());
              }
              if (result instanceof UpdateResult.VersionChanged changed) {
                return withHead(
                    changed.current(),
                    head ->
                        head.generation() == change.expectedGeneration()
                            ? attempt(attemptsLeft - 1)
                            : resolveOutcome(head));
              }
              return done(new ChangeResult.Undetermined(change.changeId()));
            });
  }

  /** Determines the outcome of the change when the head no longer has the expected generation. */
  private CompletionStage<ChangeResult> resolveOutcome(ConfigurationHead current) {
    if (current.generation() <= proposed.generation()) {
      return done(outcome(current, current));
    }
    return platform
        .get(ConfigurationKeys.history(proposed.generation()), callTimeout)
        .thenApply(
            result ->
                decodeHead(result)
                    .map(successor -> outcome(successor, current))
                    .orElse(new ChangeResult.Undetermined(change.changeId())));
  }

  private ChangeResult outcome(ConfigurationHead successor, ConfigurationHead current) {
    return successor.changeId().equals(change.changeId())
        ? new ChangeResult.Accepted(successor)
        : new ChangeResult.ConflictsWith(successor, current);
  }

  private CompletionStage<Optional<PlatformFailure>> writePrerequisites(ConfigurationHead head) {
    ImmutableSet<String> existingParts =
        head.parts().stream().map(ConfigurationPart::sha256).collect(ImmutableSet.toImmutableSet());
    CompletionStage<Optional<PlatformFailure>> writes =
        CompletableFuture.completedFuture(Optional.empty());
    for (PartContent part : ImmutableSet.copyOf(change.parts().values())) {
      if (!existingParts.contains(part.sha256())) {
        writes = thenWrite(writes, ConfigurationKeys.part(part.sha256()), part.toByteArray());
      }
    }
    return head.generation() == 0
        ? writes
        : thenWrite(writes, ConfigurationKeys.history(head.generation()), HeadCodec.encode(head));
  }

  private CompletionStage<Optional<PlatformFailure>> thenWrite(
      CompletionStage<Optional<PlatformFailure>> previous, ObjectKey key, byte[] value) {
    return previous.thenCompose(
        failure ->
            failure.isPresent()
                ? CompletableFuture.completedFuture(failure)
                : writeImmutable(key, value, MAX_PART_ATTEMPTS));
  }

  /** Writes an immutable object; a conflict means that the same content is already stored. */
  private CompletionStage<Optional<PlatformFailure>> writeImmutable(
      ObjectKey key, byte[] value, int attemptsLeft) {
    return platform
        .put(key, value, Precondition.absent(), callTimeout)
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.NotWritten refused) {
                return CompletableFuture.completedFuture(Optional.of(refused.failure()));
              }
              if (result instanceof WriteResult.Indeterminate indeterminate) {
                return attemptsLeft == 1
                    ? CompletableFuture.completedFuture(Optional.of(indeterminate.failure()))
                    : writeImmutable(key, value, attemptsLeft - 1);
              }
              return CompletableFuture.completedFuture(Optional.empty());
            });
  }

  private static CompletionStage<ChangeResult> withHead(
      StoredObject object, Function<ConfigurationHead, CompletionStage<ChangeResult>> next) {
    return HeadCodec.decode(object.value())
        .map(next)
        .orElseGet(() -> unavailable(PlatformFailure.MALFORMED_ANSWER));
  }

  private static Optional<ConfigurationHead> decodeHead(ReadResult result) {
    return result instanceof ReadResult.Found found
        ? HeadCodec.decode(found.object().value())
        : Optional.empty();
  }

  private static ConfigurationHead newHead(ConfigurationChange change, Instant instant) {
    return new ConfigurationHead(
        change.expectedGeneration() + 1,
        change.changeId(),
        change.author(),
        instant,
        change.parts().entrySet().stream()
            .map(
                entry ->
                    new ConfigurationPart(
                        entry.getKey(), entry.getValue().sha256(), entry.getValue().size()))
            .collect(ImmutableList.toImmutableList()),
        change.expectedGeneration());
  }

  private static CompletionStage<ChangeResult> unavailable(PlatformFailure failure) {
    return done(new ChangeResult.Unavailable(failure));
  }

  private static CompletionStage<ChangeResult> done(ChangeResult result) {
    return CompletableFuture.completedFuture(result);
  }
}
