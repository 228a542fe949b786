package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.jspecify.annotations.Nullable;

/** An exchange that buffers the complete response body, up to a size limit. */
final class BufferedExchange extends ClientExchange {

  private final int maximumBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final CompletableFuture<ExchangeResult> result = new CompletableFuture<>();
  private volatile @Nullable HttpResponse head;

  BufferedExchange(PeerAddress peer, HttpCall call, int maximumBytes) {
    super(peer, call);
    this.maximumBytes = maximumBytes;
  }

  CompletableFuture<ExchangeResult> result() {
    return result;
  }

  @Override
  void onHead(HttpResponse response) {
    head = response;
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    channel.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer source) {
    onProgress();
    if (body.size() + source.remaining() > maximumBytes) {
      abort(ExchangeFailure.OVERSIZE);
      return;
    }
    byte[] bytes = new byte[source.remaining()];
    source.get(bytes);
    body.writeBytes(bytes);
  }

  @Override
  void onComplete() {
    HttpResponse response = head;
    result.complete(
        response == null
            ? new ExchangeResult.Interrupted(ExchangeFailure.MALFORMED)
            : new ExchangeResult.Response(response, body.toByteArray()));
  }

  @Override
  void onFailure(boolean sent, ExchangeFailure failure) {
    boolean incomplete = failure == ExchangeFailure.TIMEOUT && head != null;
    ExchangeFailure reported = incomplete ? ExchangeFailure.INCOMPLETE : failure;
    result.complete(
        sent ? new ExchangeResult.Interrupted(reported) : new ExchangeResult.NotSent(reported));
  }
}
