package dev.apricotmill.testhelpers.service;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.service.CallResult;
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

/** One replica of a plain service behind HTTP; {@code GET /log} tells what it executed. */
public final class ServiceServer implements AutoCloseable {

  private static final String REQUEST_ID_HEADER = "apricotmill-request-id";
  private static final Duration LATENESS = Duration.ofSeconds(2);
  private static final JsonMapper MAPPER = new JsonMapper();

  private final String replica;
  private final ServiceCore core;
  private final FaultSwitch<ServiceOperation> faults = new FaultSwitch<>(ServiceOperation.class);
  private final FaultyReplies replies;
  private final StandInHttpServer server;

  /** Starts a replica on a loopback port, zero for any. */
  public ServiceServer(String replica, int port, Timing timing) throws IOException {
    this.replica = replica;
    this.core = new ServiceCore(timing);
    this.replies =
        new FaultyReplies(
            timing,
            LATENESS,
            StandInAnswer.json(503, "{\"error\":\"not run\"}", "Retry-After", "1"));
    this.server = StandInHttpServer.start(port, this::handle);
  }

  /** Returns where the replica listens. */
  public PeerAddress address() {
    return server.address();
  }

  /** Returns the model of the service, with its log. */
  public ServiceCore core() {
    return core;
  }

  /** Returns the switch for faults of single calls. */
  public FaultSwitch<ServiceOperation> faults() {
    return faults;
  }

  private void handle(StandInRequest request, StandInReply reply) {
    switch (request.path()) {
      case "/log" -> reply.send(StandInAnswer.json(200, logAsJson()));
      case "/faults" -> reply.send(FaultRequests.serve(request, ServiceOperation.class, faults));
      default -> {
        Fault fault = faults.take(ServiceOperation.ofMethod(request.method()));
        replies.serve(fault, () -> execute(request), reply);
      }
    }
  }

  private StandInAnswer execute(StandInRequest request) {
    String requestId = request.headers().getOrDefault(REQUEST_ID_HEADER, "");
    CallResult.Response response =
        core.execute(replica, requestId, request.method(), request.target(), request.headers());
    return new StandInAnswer(
        response.status(),
        ImmutableMap.<String, String>builder()
            .putAll(response.headers())
            .put(REQUEST_ID_HEADER, requestId)
            .buildOrThrow(),
        response.body());
  }

  private String logAsJson() {
    ArrayNode entries = MAPPER.createArrayNode();
    for (ServiceLogEntry entry : core.log()) {
      entries
          .addObject()
          .put("operation", entry.operation().name())
          .put("replica", entry.replica())
          .put("request_id", entry.requestId())
          .put("idempotency_key", entry.idempotencyKey())
          .put("method", entry.method())
          .put("path", entry.path());
    }
    return entries.toString();
  }

  @Override
  public void close() {
    server.close();
  }
}
