package dev.apricotmill.cli;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.adapters.ExchangeId;
import dev.apricotmill.adapters.ExchangeResult;
import dev.apricotmill.adapters.HttpCall;
import dev.apricotmill.adapters.HttpClients;
import dev.apricotmill.cli.command.OperatorAnswer;
import dev.apricotmill.cli.command.OperatorPort;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/** Calls operators' ports over HTTP/1.1, several daemons at once. */
final class HttpOperatorPort implements OperatorPort {
  private static final int MAXIMUM_ANSWER_BYTES = 16 << 20;
  private static final byte[] NO_BODY = {};

  /** Each call goes over a connection of its own, since the daemon may have ended the last one. */
  private static final ExchangeId OPERATOR =
      ExchangeId.notNamedIn("apricotmill-request-id", "operator");

  private final HttpClients clients;

  HttpOperatorPort(HttpClients clients) {
    this.clients = clients;
  }

  @Override
  public CompletionStage<OperatorAnswer> get(PeerAddress daemon, String path, Duration timeout) {
    return send("GET", daemon, path, timeout);
  }

  @Override
  public CompletionStage<OperatorAnswer> post(PeerAddress daemon, String path, Duration timeout) {
    return send("POST", daemon, path, timeout);
  }

  private CompletionStage<OperatorAnswer> send(
      String method, PeerAddress daemon, String path, Duration timeout) {
    HttpCall call =
        new HttpCall(method, path, ImmutableMap.of(), /* contentType= */ null, NO_BODY)
            .withExchangeId(OPERATOR);
    return clients
        .send(daemon, call, MAXIMUM_ANSWER_BYTES, timeout)
        .thenApply(HttpOperatorPort::answer);
  }

  private static OperatorAnswer answer(ExchangeResult result) {
    if (result instanceof ExchangeResult.Response response) {
      return new OperatorAnswer.Answered(response.status(), response.text());
    }
    return result instanceof ExchangeResult.NotSent
        ? new OperatorAnswer.Unreachable()
        : new OperatorAnswer.NoAnswer();
  }
}
