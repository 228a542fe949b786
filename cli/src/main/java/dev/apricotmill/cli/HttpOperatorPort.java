package dev.apricotmill.cli;

import dev.apricotmill.cli.command.OperatorAnswer;
import dev.apricotmill.cli.command.OperatorPort;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/** Calls operators' ports over HTTP/1.1, several daemons at once. */
final class HttpOperatorPort implements OperatorPort, AutoCloseable {
  private static final int CALLS_AT_ONCE = 16;
  private static final int MAXIMUM_ANSWER_CHARACTERS = 16 << 20;

  private final ExecutorService executor = Executors.newFixedThreadPool(CALLS_AT_ONCE);

  @Override
  public CompletionStage<OperatorAnswer> get(PeerAddress daemon, String path, Duration timeout) {
    return send(ClassicRequestBuilder.get(path).build(), daemon, timeout);
  }

  @Override
  public CompletionStage<OperatorAnswer> post(PeerAddress daemon, String path, Duration timeout) {
    return send(ClassicRequestBuilder.post(path).build(), daemon, timeout);
  }

  private CompletionStage<OperatorAnswer> send(
      ClassicHttpRequest request, PeerAddress daemon, Duration timeout) {
    return CompletableFuture.supplyAsync(() -> exchange(request, daemon, timeout), executor);
  }

  private static OperatorAnswer exchange(
      ClassicHttpRequest request, PeerAddress daemon, Duration timeout) {
    Timeout limit = Timeout.of(timeout);
    HttpRequester requester =
        RequesterBootstrap.bootstrap()
            .setSocketConfig(SocketConfig.custom().setSoTimeout(limit).build())
            .create();
    try {
      HttpHost host = new HttpHost("http", daemon.host(), daemon.port());
      return requester.execute(
          host, request, limit, HttpCoreContext.create(), HttpOperatorPort::answer);
    } catch (ConnectException e) {
      return new OperatorAnswer.Unreachable();
    } catch (IOException | HttpException e) {
      return new OperatorAnswer.NoAnswer();
    } finally {
      requester.close(CloseMode.IMMEDIATE);
    }
  }

  private static OperatorAnswer answer(ClassicHttpResponse response)
      throws IOException, HttpException {
    String body =
        response.getEntity() == null
            ? ""
            : EntityUtils.toString(response.getEntity(), MAXIMUM_ANSWER_CHARACTERS);
    return new OperatorAnswer.Answered(response.getCode(), body);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
