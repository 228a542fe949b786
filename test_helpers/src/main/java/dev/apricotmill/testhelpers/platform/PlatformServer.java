package dev.apricotmill.testhelpers.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.fault.FaultSwitch;
import dev.apricotmill.testhelpers.http.FaultRequests;
import dev.apricotmill.testhelpers.http.FaultyReplies;
import dev.apricotmill.testhelpers.http.StandInAnswer;
import dev.apricotmill.testhelpers.http.StandInHttpServer;
import dev.apricotmill.testhelpers.http.StandInReply;
import dev.apricotmill.testhelpers.http.StandInRequest;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Supplier;

/** The platform's object store and list of VMs behind HTTP. */
public final class PlatformServer implements AutoCloseable {

  private static final String OBJECTS = "/objects/";
  private static final Duration LATENESS = Duration.ofSeconds(2);
  private static final StandInAnswer RATE_LIMITED =
      StandInAnswer.json(429, "{\"error\":\"rate limit\"}", "Retry-After", "1");

  private final PlatformSettings settings;
  private final Timing timing;
  private final PlatformStore store = new PlatformStore();
  private final FaultSwitch<PlatformOperation> faults = new FaultSwitch<>(PlatformOperation.class);
  private final FaultyReplies replies;
  private final RateLimit reads;
  private final RateLimit writes;
  private final StandInHttpServer server;
  private volatile ImmutableList<Machine> machines = ImmutableList.of();

  /** Starts an empty store on a loopback port, zero for any. */
  public PlatformServer(PlatformSettings settings, int port, Timing timing) throws IOException {
    this.settings = settings;
    this.timing = timing;
    this.replies = new FaultyReplies(timing, LATENESS, RATE_LIMITED);
    this.reads = new RateLimit(settings.readsPerSecond(), timing);
    this.writes = new RateLimit(settings.writesPerSecond(), timing);
    this.server = StandInHttpServer.start(port, this::handle);
  }

  /** Returns where the platform listens. */
  public PeerAddress address() {
    return server.address();
  }

  /** Returns the switch for faults of single calls. */
  public FaultSwitch<PlatformOperation> faults() {
    return faults;
  }

  /** Replaces the list of VMs; the change shows after the lag. */
  public void setMachines(ImmutableList<Machine> newMachines) {
    timing.schedule(settings.machineListLag(), () -> machines = newMachines);
  }

  private void handle(StandInRequest request, StandInReply reply) {
    try {
      route(request, reply);
    } catch (IllegalArgumentException malformed) {
      reply.send(StandInAnswer.json(400, "{\"error\":\"malformed\"}"));
    }
  }

  private void route(StandInRequest request, StandInReply reply) {
    if (request.path().startsWith(OBJECTS)) {
      object(request, reply);
      return;
    }
    switch (request.path()) {
      case "/objects" -> serve(PlatformOperation.LIST, reads, () -> list(request), reply);
      case "/watch" -> watch(request, reply);
      case "/machines" -> machines(request, reply);
      case "/faults" -> reply.send(FaultRequests.serve(request, PlatformOperation.class, faults));
      default -> reply.send(StandInAnswer.json(404, "{\"error\":\"no such path\"}"));
    }
  }

  private void object(StandInRequest request, StandInReply reply) {
    ObjectKey key = new ObjectKey(request.path().substring(OBJECTS.length()));
    switch (request.method()) {
      case "GET" -> serve(PlatformOperation.GET, reads, () -> get(key), reply);
      case "PUT" -> serve(PlatformOperation.WRITE, writes, () -> put(key, request), reply);
      case "DELETE" ->
          serve(
              PlatformOperation.WRITE,
              writes,
              () -> PlatformJson.write(store.delete(key, precondition(request))),
              reply);
      default -> reply.send(StandInAnswer.json(405, "{\"error\":\"no such method\"}"));
    }
  }

  private void serve(
      PlatformOperation operation,
      RateLimit limit,
      Supplier<StandInAnswer> effect,
      StandInReply reply) {
    if (limit.allow()) {
      replies.serve(faults.take(operation), effect, reply);
    } else {
      reply.send(RATE_LIMITED);
    }
  }

  private StandInAnswer get(ObjectKey key) {
    if (store.get(key) instanceof ReadResult.Found found) {
      return new StandInAnswer(
          200,
          ImmutableMap.of(
              "ETag",
              "\"" + found.object().version() + "\"",
              "Content-Type",
              "application/octet-stream"),
          found.object().value());
    }
    return StandInAnswer.json(404, "{\"error\":\"no such object\"}");
  }

  private StandInAnswer put(ObjectKey key, StandInRequest request) {
    if (request.body().length > Platform.MAX_VALUE_BYTES) {
      return StandInAnswer.json(413, "{\"error\":\"too large\"}");
    }
    return PlatformJson.write(store.put(key, request.body(), precondition(request)));
  }

  private static Precondition precondition(StandInRequest request) {
    if (request.headers().getOrDefault("if-none-match", "").equals("*")) {
      return Precondition.absent();
    }
    String tag = request.headers().getOrDefault("if-match", "");
    return Precondition.versionIs(Long.parseLong(tag.replace("\"", "")));
  }

  private StandInAnswer list(StandInRequest request) {
    long revision = store.revision();
    return PlatformJson.list(store.list(request.query().getOrDefault("prefix", "")), revision);
  }

  private void watch(StandInRequest request, StandInReply reply) {
    if (!reads.allow()) {
      reply.send(RATE_LIMITED);
      return;
    }
    Fault fault = faults.take(PlatformOperation.WATCH);
    if (fault != Fault.NONE) {
      replies.serve(fault, () -> list(request), reply);
      return;
    }
    long revision = Long.parseLong(request.query().getOrDefault("revision", "0"));
    long waitMillis = Long.parseLong(request.query().getOrDefault("wait_ms", "0"));
    new PendingWatch(store, request.query().getOrDefault("prefix", ""), revision, reply)
        .start(timing, Duration.ofMillis(waitMillis));
  }

  private void machines(StandInRequest request, StandInReply reply) {
    if (request.method().equals("PUT")) {
      setMachines(
          PlatformJson.machines(
              request.json().orElseThrow(() -> new IllegalArgumentException("not JSON"))));
      reply.send(StandInAnswer.json(200, "{}"));
      return;
    }
    serve(PlatformOperation.MACHINES, reads, () -> PlatformJson.machines(machines), reply);
  }

  @Override
  public void close() {
    server.close();
  }
}
