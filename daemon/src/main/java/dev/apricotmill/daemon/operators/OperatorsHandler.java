package dev.apricotmill.daemon.operators;

import dev.apricotmill.daemon.http.CompleteResponse;
import dev.apricotmill.daemon.http.EarlyRefusal;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.RequestHandler;
import dev.apricotmill.daemon.http.ResponseSender;
import dev.apricotmill.node.Node;
import dev.apricotmill.node.api.NodeStatus;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** Handles the requests of the operators' API. */
public final class OperatorsHandler implements RequestHandler {

  private static final String JSON = "application/json";
  private static final String PROBLEM_JSON = "application/problem+json";
  private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

  private final Node node;
  private final PrometheusMeterRegistry meters;
  private final OperatorsToken token;

  /** Creates the handler of one node. */
  public OperatorsHandler(Node node, PrometheusMeterRegistry meters, OperatorsToken token) {
    this.token = token;
    this.node = node;
    this.meters = meters;
  }

  @Override
  public void handle(IncomingRequest request, ResponseSender reply) {
    OperatorsPath path = OperatorsPath.of(request.path());
    if (path == OperatorsPath.NONE) {
      reply.send(problem(404, "nothing is served under this path"));
    } else if (!request.method().equals(path.method())) {
      reply.send(
          problem(405, "the path takes " + path.method()).withHeader("Allow", path.method()));
    } else if (path.access() == OperatorsPath.Access.OPERATOR
        && !token.authorizes(request.header("authorization"))) {
      reply.send(
          problem(401, "the operators' token is missing or wrong")
              .withHeader("WWW-Authenticate", "Bearer"));
    } else {
      reply.send(responseFor(path));
    }
  }

  @Override
  public CompleteResponse refuse(EarlyRefusal fault) {
    return problem(fault.status(), fault.detail());
  }

  private CompleteResponse responseFor(OperatorsPath path) {
    return switch (path) {
      case LIVE -> CompleteResponse.text(200, JSON, "{\"live\":true}");
      case READY -> ready();
      case METRICS -> CompleteResponse.text(200, PROMETHEUS, meters.scrape());
      case STATUS -> status(200);
      case DRAIN -> drain();
      case NONE -> problem(404, "nothing is served under this path");
    };
  }

  private CompleteResponse ready() {
    boolean ready = node.status().phase() == NodeStatus.Phase.READY;
    return CompleteResponse.text(ready ? 200 : 503, JSON, "{\"ready\":" + ready + "}");
  }

  private CompleteResponse drain() {
    node.drain();
    return status(202);
  }

  private CompleteResponse status(int httpStatus) {
    return CompleteResponse.text(httpStatus, JSON, StatusJson.of(node.status()).toString());
  }

  private static CompleteResponse problem(int status, String detail) {
    return CompleteResponse.text(
        status,
        PROBLEM_JSON,
        "{\"type\":\"about:blank\",\"status\":" + status + ",\"detail\":\"" + detail + "\"}");
  }
}
