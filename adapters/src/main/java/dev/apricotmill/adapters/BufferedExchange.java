package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.coordination.memory.ChunkBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.jspecify.annotations.Nullable;

/** An exchange that buffers the complete response body, up to its own limit and that of all. */
final class BufferedExchange extends ClientExchange {

  private final int maximumBytes;
  private final BufferBudget.Account account;
  private final ChunkBuffer body = new ChunkBuffer();
  private final CompletableFuture<ExchangeResult> result = new CompletableFuture<>();
  private volatile @Nullable HttpResponse head;

  /**
   * Creates an exchange.
   *
   * @param buffers the memory for the bodies of all exchanges
   */
  BufferedExchange(PeerAddress peer, HttpCall call, int maximumBytes, BufferBudget buffers) {
    super(peer, call);
    this.maximumBytes = maximumBytes;
    account = buffers.openRevocable(() -> abort(ExchangeFailure.OVERSIZE));
  }

  CompletableFuture<ExchangeResult> result() {
    return result;
  }

  @Override
  void onHead(HttpResponse response) {
    if (belongsToExchange(response)) {
      head = response;
    } else {
      abort(ExchangeFailure.MALFORMED);
    }
  }

  private boolean belongsToExchange(HttpResponse response) {
    return call().exchangeId().map(id -> belongsTo(id, response)).orElse(true);
  }

  /** The first response on a connection can belong only to the first request. */
  private boolean belongsTo(ExchangeId id, HttpResponse response) {
    return id.isNamedBy(response)
        || (id.isUnnamed(response) && (!id.named() || isFirstOnConnection()));
  }

  /** A second response that names no request would be taken for the response to the next one. */
  @Override
  boolean allowsReuse() {
    HttpResponse response = head;
    return response != null && call().exchangeId().map(id -> id.isNamedBy(response)).orElse(true);
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    channel.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer source) {
    onProgress();
    if (body.size() + source.remaining() > maximumBytes || !account.reserve(source.remaining())) {
      abort(ExchangeFailure.OVERSIZE);
      return;
    }
    byte[] bytes = new byte[source.remaining()];
    source.get(bytes);
    body.add(bytes);
  }

  @Override
  void onComplete() {
    account.close();
    HttpResponse response = head;
    result.complete(
        response == null
            ? new ExchangeResult.Interrupted(ExchangeFailure.MALFORMED)
            : new ExchangeResult.Response(response, body.toByteArray()));
  }

  @Override
  void onFailure(boolean sent, ExchangeFailure failure) {
    account.close();
    boolean incomplete = failure == ExchangeFailure.TIMEOUT && head != null;
    ExchangeFailure reported = incomplete ? ExchangeFailure.INCOMPLETE : failure;
    result.complete(
        sent ? new ExchangeResult.Interrupted(reported) : new ExchangeResult.NotSent(reported));
  }
}
