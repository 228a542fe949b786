package dev.apricotmill.adapters;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.ListResult;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.time.ResponseLimits;
import java.net.URLEncoder;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.hc.core5.http.ContentType;

/** Calls the platform's object store over HTTP/1.1, with versions as entity tags. */
public final class HttpPlatform implements Platform {

  private static final int MAXIMUM_OBJECT_RESPONSE_BYTES = MAX_VALUE_BYTES + 4096;
  private static final int MAXIMUM_LIST_RESPONSE_BYTES = 32 << 20;
  private static final Duration WATCH_RESPONSE_MARGIN = Duration.ofSeconds(2);
  private static final byte[] NO_BODY = {};

  private final HttpClients clients;
  private final PeerAddress platform;

  /** Creates the adapter for the platform that listens at {@code platform}. */
  public HttpPlatform(HttpClients clients, PeerAddress platform) {
    this.clients = clients;
    this.platform = platform;
  }

  @Override
  public CompletionStage<ReadResult> get(ObjectKey key, Duration timeout) {
    return clients
        .send(platform, HttpCall.get(objectPath(key)), MAXIMUM_OBJECT_RESPONSE_BYTES, timeout)
        .thenApply(result -> readResult(key, result));
  }

  private static ReadResult readResult(ObjectKey key, ExchangeResult result) {
    if (!(result instanceof ExchangeResult.Response response)) {
      return new ReadResult.Unavailable(PlatformFailures.of(result));
    }
    if (response.status() == 404) {
      return new ReadResult.NotFound();
    }
    if (response.status() != 200) {
      return new ReadResult.Unavailable(PlatformFailures.of(result));
    }
    Optional<Long> version = response.header("ETag").flatMap(EntityTag::parse);
    return version.isPresent()
        ? new ReadResult.Found(new StoredObject(key, version.get(), response.body()))
        : new ReadResult.Unavailable(PlatformFailure.MALFORMED_ANSWER);
  }

  @Override
  public CompletionStage<ListResult> list(String prefix, Duration timeout) {
    return getJson(
        "/objects?prefix=" + encode(prefix),
        timeout,
        PlatformMessages.Listing.class,
        listing ->
            new ListResult.Listed(PlatformMessages.objects(listing.objects()), listing.revision()),
        ListResult.Unavailable::new);
  }

  @Override
  public CompletionStage<WriteResult> put(
      ObjectKey key, byte[] value, Precondition precondition, Duration timeout) {
    if (value.length > MAX_VALUE_BYTES) {
      return CompletableFuture.completedFuture(
          new WriteResult.NotWritten(PlatformFailure.TOO_LARGE));
    }
    return write("PUT", key, value, precondition, timeout);
  }

  @Override
  public CompletionStage<WriteResult> delete(
      ObjectKey key, Precondition precondition, Duration timeout) {
    return write("DELETE", key, NO_BODY, precondition, timeout);
  }

  private CompletionStage<WriteResult> write(
      String method, ObjectKey key, byte[] value, Precondition precondition, Duration timeout) {
    HttpCall call =
        new HttpCall(
            method,
            objectPath(key),
            conditionHeaders(precondition),
            ContentType.APPLICATION_OCTET_STREAM,
            value);
    return clients
        .send(platform, call, MAXIMUM_OBJECT_RESPONSE_BYTES, timeout)
        .thenApply(HttpPlatform::writeResult);
  }

  private static ImmutableMap<String, String> conditionHeaders(Precondition precondition) {
    return precondition instanceof Precondition.VersionIs expected
        ? ImmutableMap.of("If-Match", EntityTag.format(expected.version()))
        : ImmutableMap.of("If-None-Match", "*");
  }

  private static WriteResult writeResult(ExchangeResult result) {
    if (result instanceof ExchangeResult.NotSent) {
      return new WriteResult.NotWritten(PlatformFailures.of(result));
    }
    if (!(result instanceof ExchangeResult.Response response)) {
      return new WriteResult.Indeterminate(PlatformFailures.of(result));
    }
    boolean conflict = response.status() == 412;
    if (conflict || response.isSuccess()) {
      Optional<PlatformMessages.Version> version =
          Json.read(response.body(), PlatformMessages.Version.class);
      if (version.isEmpty()) {
        return new WriteResult.Indeterminate(PlatformFailure.MALFORMED_ANSWER);
      }
      return conflict
          ? new WriteResult.Conflict(version.get().version())
          : new WriteResult.Written(version.get().version());
    }
    PlatformFailure failure = PlatformFailures.of(result);
    return PlatformFailures.provesNotWritten(failure)
        ? new WriteResult.NotWritten(failure)
        : new WriteResult.Indeterminate(failure);
  }

  @Override
  public CompletionStage<WatchResult> watch(String prefix, long revision, Duration wait) {
    String path =
        "/watch?prefix=" + encode(prefix) + "&revision=" + revision + "&wait_ms=" + wait.toMillis();
    return clients
        .send(
            platform,
            HttpCall.get(path),
            MAXIMUM_LIST_RESPONSE_BYTES,
            ResponseLimits.transfer(wait.plus(WATCH_RESPONSE_MARGIN)))
        .thenApply(HttpPlatform::watchResult);
  }

  private static WatchResult watchResult(ExchangeResult result) {
    if (result instanceof ExchangeResult.Response response) {
      if (response.status() == 410) {
        return new WatchResult.Compacted();
      }
      if (response.status() == 200) {
        return Json.read(response.body(), PlatformMessages.ChangeSet.class)
            .flatMap(HttpPlatform::changes)
            .orElseGet(() -> new WatchResult.Unavailable(PlatformFailure.MALFORMED_ANSWER));
      }
    }
    return new WatchResult.Unavailable(PlatformFailures.of(result));
  }

  private static Optional<WatchResult> changes(PlatformMessages.ChangeSet set) {
    return Conversions.attempt(
        () ->
            new WatchResult.Changes(
                PlatformMessages.objects(set.changed()),
                set.removed().stream().map(ObjectKey::new).collect(ImmutableList.toImmutableList()),
                set.revision()));
  }

  @Override
  public CompletionStage<MachineListResult> machines(Duration timeout) {
    return getJson(
        "/machines",
        timeout,
        PlatformMessages.MachineListing.class,
        listing ->
            new MachineListResult.Listed(
                listing.machines().stream()
                    .map(PlatformMessages.MachineEntry::toMachine)
                    .collect(ImmutableList.toImmutableList())),
        MachineListResult.Unavailable::new);
  }

  private <M, R> CompletionStage<R> getJson(
      String path,
      Duration timeout,
      Class<M> type,
      Function<M, R> onSuccess,
      Function<PlatformFailure, R> onUnavailable) {
    return clients
        .send(
            platform,
            HttpCall.get(path),
            MAXIMUM_LIST_RESPONSE_BYTES,
            ResponseLimits.transfer(timeout))
        .thenApply(
            result -> {
              if (!(result instanceof ExchangeResult.Response response)
                  || response.status() != 200) {
                return onUnavailable.apply(PlatformFailures.of(result));
              }
              return Json.read(response.body(), type)
                  .flatMap(message -> Conversions.attempt(() -> onSuccess.apply(message)))
                  .orElseGet(() -> onUnavailable.apply(PlatformFailure.MALFORMED_ANSWER));
            });
  }

  private static String objectPath(ObjectKey key) {
    return "/objects/" + encode(key.path()).replace("%2F", "/");
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, UTF_8).replace("+", "%20");
  }
}
