package dev.apricotmill.daemon.operators;

import dev.apricotmill.daemon.http.Answer;
import dev.apricotmill.daemon.http.EdgeFault;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.Reply;
import dev.apricotmill.daemon.http.RequestHandler;
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
  public void handle(IncomingRequest request, Reply reply) {
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
  public Answer refuse(EdgeFault fault) {
    return problem(fault.status(), fault.detail());
  }

  private Answer responseFor(OperatorsPath path) {
    return switch (path) {
      case LIVE -> Answer.text(200, JSON, "{\"live\":true}");
      case READY -> ready();
      case METRICS -> Answer.text(200, PROMETHEUS, meters.scrape());
      case STATUS -> status(200);
      case DRAIN -> drain();
      case NONE -> problem(404, "nothing is served under this path");
    };
  }

  private Answer ready() {
    boolean ready = node.status().phase() == NodeStatus.Phase.READY;
    return Answer.text(ready ? 200 : 503, JSON, "{\"ready\":" + ready + "}");
  }

  private Answer drain() {
    node.drain();
    return status(202);
  }

  private Answer status(int httpStatus) {
    return Answer.text(httpStatus, JSON, StatusJson.of(node.status()).toString());
  }

  private static Answer problem(int status, String detail) {
    return Answer.text(
        status,
        PROBLEM_JSON,
        "{\"type\":\"about:blank\",\"status\":" + status + ",\"detail\":\"" + detail + "\"}");
  }
}
