package dev.apricotmill.testhelpers.engine;

import com.fasterxml.jackson.databind.JsonNode;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.CancelResult;
import dev.apricotmill.core.engine.EngineRefusal;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.OrderResult;
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
import java.util.function.Function;
import java.util.function.Supplier;

/** A stand-in engine behind HTTP; {@code GET /log} tells what really happened. */
public final class EngineServer implements AutoCloseable {

  private static final Duration LATENESS = Duration.ofSeconds(2);

  private final EngineCore core;
  private final FaultSwitch<EngineOperation> faults = new FaultSwitch<>(EngineOperation.class);
  private final FaultyReplies replies;
  private final StandInHttpServer server;

  /** Starts an engine on a loopback port, zero for any. */
  public EngineServer(EngineSettings settings, int port, Timing timing) throws IOException {
    this.core = new EngineCore(settings, timing);
    this.replies = new FaultyReplies(timing, LATENESS, refusal(EngineRefusal.NOT_SERVING));
    this.server = StandInHttpServer.start(port, this::handle);
  }

  /** Returns where the engine listens. */
  public PeerAddress address() {
    return server.address();
  }

  /** Returns the model of the engine, with its log. */
  public EngineCore core() {
    return core;
  }

  /** Returns the switch for faults of single calls. */
  public FaultSwitch<EngineOperation> faults() {
    return faults;
  }

  private void handle(StandInRequest request, StandInReply reply) {
    try {
      route(request, reply);
    } catch (IllegalArgumentException malformed) {
      reply.send(refusal(EngineRefusal.INVALID));
    }
  }

  private void route(StandInRequest request, StandInReply reply) {
    switch (request.path()) {
      case "/v1/completions" -> generate(EngineJson.completion(json(request)), reply);
      case "/cancel" -> serve(EngineOperation.CANCEL, request, reply, this::cancel);
      case "/load" -> serve(EngineOperation.LOAD, reply, () -> ok(EngineJson.load(core.load())));
      case "/sequences" ->
          serve(EngineOperation.HELD, reply, () -> ok(EngineJson.held(core.held())));
      case "/cache/events" ->
          serve(EngineOperation.CACHE_EVENTS, reply, () -> cacheEvents(request));
      case "/cache/export" -> serve(EngineOperation.EXPORT, request, reply, this::export);
      case "/cache/import" -> serve(EngineOperation.IMPORT, request, reply, this::importCache);
      case "/cache/release" -> serve(EngineOperation.RELEASE, request, reply, this::release);
      case "/orders" -> serve(EngineOperation.ORDER, request, reply, this::order);
      case "/faults" -> reply.send(FaultRequests.serve(request, EngineOperation.class, faults));
      case "/log" -> reply.send(ok(EngineJson.log(core.log())));
      case "/usage" -> reply.send(ok("{\"used_tokens\":" + core.usedTokens() + "}"));
      default -> reply.send(StandInAnswer.json(404, "{\"error\":{\"code\":\"not_found\"}}"));
    }
  }

  private static JsonNode json(StandInRequest request) {
    return request.json().orElseThrow(() -> new IllegalArgumentException("not JSON"));
  }

  private void serve(
      EngineOperation operation,
      StandInRequest request,
      StandInReply reply,
      Function<JsonNode, StandInAnswer> effect) {
    JsonNode body = json(request);
    serve(operation, reply, () -> effect.apply(body));
  }

  private void serve(
      EngineOperation operation, StandInReply reply, Supplier<StandInAnswer> effect) {
    replies.serve(faults.take(operation), effect, reply);
  }

  private void generate(EngineRequest request, StandInReply reply) {
    Fault fault = faults.take(EngineOperation.GENERATE);
    if (fault == Fault.LOST_BEFORE_EFFECT) {
      return;
    }
    if (fault == Fault.REFUSED) {
      reply.send(refusal(EngineRefusal.NOT_SERVING));
      return;
    }
    CompletionWriter writer = new CompletionWriter(request, fault, LATENESS, core, reply);
    if (core.start(request, writer) instanceof StartResult.Refused refused) {
      reply.send(refusal(refused.reason()));
    } else {
      writer.begin();
    }
  }

  private StandInAnswer cancel(JsonNode body) {
    return released(core.cancel(EngineJson.sequence(body.path("sequence"))));
  }

  private StandInAnswer release(JsonNode body) {
    return released(core.releaseExport(new ExportId(body.path("export").asText())));
  }

  private static StandInAnswer released(CancelResult result) {
    return ok("{\"released\":" + (result == CancelResult.RELEASED) + "}");
  }

  private StandInAnswer cacheEvents(StandInRequest request) {
    long after = Long.parseLong(request.query().getOrDefault("after", "0"));
    return ok(EngineJson.cacheEvents(core.cacheEvents(after)));
  }

  private StandInAnswer export(JsonNode body) {
    return core.exportCache(EngineJson.sequence(body.path("sequence")))
        .map(export -> ok("{\"export\":\"" + export.value() + "\"}"))
        .orElseGet(() -> refusal(EngineRefusal.NO_MEMORY));
  }

  private StandInAnswer importCache(JsonNode body) {
    ExportId export = new ExportId(body.path("export").asText());
    return core.importCache(export, EngineJson.sequence(body.path("sequence")))
        .map(tokens -> ok("{\"tokens\":" + tokens + "}"))
        .orElseGet(() -> refusal(EngineRefusal.NO_MEMORY));
  }

  private StandInAnswer order(JsonNode body) {
    if (core.order(EngineJson.order(body)) instanceof OrderResult.Fenced fenced) {
      return StandInAnswer.json(409, "{\"highest_seen\":" + fenced.highestSeen() + "}");
    }
    return ok("{}");
  }

  private static StandInAnswer ok(String body) {
    return StandInAnswer.json(200, body);
  }

  private static StandInAnswer refusal(EngineRefusal reason) {
    return switch (reason) {
      case NO_MEMORY -> unavailable("no_memory");
      case NOT_SERVING, UNREACHABLE -> unavailable("not_serving");
      case INVALID -> StandInAnswer.json(400, "{\"error\":{\"code\":\"invalid\"}}");
    };
  }

  private static StandInAnswer unavailable(String code) {
    return StandInAnswer.json(503, "{\"error\":{\"code\":\"" + code + "\"}}", "Retry-After", "1");
  }

  @Override
  public void close() {
    server.close();
  }
}
