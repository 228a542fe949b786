package dev.apricotmill.protocol;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.apricotmill.protocol.generated.Frame;
import dev.apricotmill.protocol.generated.Part;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Reset;
import dev.apricotmill.protocol.generated.ResetReason;
import dev.apricotmill.protocol.generated.Response;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** The server side of a connection. Its state is confined to the channel's event loop. */
final class ServerConnection extends Connection {

  private final EventLoop loop;
  private final Supplier<StreamAcceptor> acceptor;
  private final Map<Long, OpenStream> streams = new HashMap<>();
  private long highestStreamId;
  private boolean closed;

  ServerConnection(
      String daemonName,
      TransportLimits limits,
      AtomicLong incompleteBytes,
      EventLoop loop,
      Supplier<StreamAcceptor> acceptor) {
    super(daemonName, limits, incompleteBytes);
    this.loop = loop;
    this.acceptor = acceptor;
  }

  @Override
  void onHelloReceived() {}

  @Override
  void onFrame(Frame frame) throws IOException {
    switch (frame.getBodyCase()) {
      case PART -> onPart(frame.getStream(), frame.getPart());
      case CREDIT -> onCredit(frame.getStream(), frame.getCredit().getResponses());
      case CANCEL -> onCancel(frame.getStream());
      default ->
          throw new ProtocolViolationException("unexpected frame " + frame.getBodyCase().name());
    }
  }

  @Override
  void onClosed() {
    closed = true;
    streams.values().forEach(OpenStream::cancel);
    streams.clear();
  }

  private void onPart(long id, Part part) throws IOException {
    OpenStream stream = streams.get(id);
    if (stream == null) {
      stream = openStream(id);
    }
    if (stream.requestReceived) {
      throw new ProtocolViolationException("second request on stream " + id);
    }
    Optional<ByteString> message = assembly().add(id, part);
    if (message.isPresent()) {
      stream.requestReceived = true;
      accept(stream, message.get());
    }
  }

  private OpenStream openStream(long id) throws ProtocolViolationException {
    if (id <= highestStreamId) {
      throw new ProtocolViolationException(
          "expected a stream id above " + highestStreamId + ", got " + id);
    }
    highestStreamId = id;
    if (streams.size() >= limits().maximumStreams()) {
      throw new ProtocolViolationException(
          "more than " + limits().maximumStreams() + " open streams");
    }
    OpenStream stream = new OpenStream(id);
    streams.put(id, stream);
    return stream;
  }

  private void accept(OpenStream stream, ByteString message) {
    Request request;
    try {
      request = Request.parseFrom(message);
    } catch (InvalidProtocolBufferException e) {
      stream.refuse(ResetReason.RESET_REASON_MALFORMED);
      return;
    }
    stream.handler = acceptor.get().accept(request, stream);
    if (stream.creditBeforeRequest > 0) {
      stream.handler.onCredit(stream.creditBeforeRequest);
    }
  }

  private void onCredit(long id, long responses) throws ProtocolViolationException {
    OpenStream stream = streams.get(id);
    if (stream == null) {
      return;
    }
    if (responses <= 0) {
      throw new ProtocolViolationException("expected a positive credit, got " + responses);
    }
    if (stream.handler == null) {
      stream.creditBeforeRequest = Math.addExact(stream.creditBeforeRequest, responses);
    } else {
      stream.handler.onCredit(responses);
    }
  }

  private void onCancel(long id) {
    OpenStream stream = streams.remove(id);
    assembly().discard(id);
    if (stream != null) {
      outgoing().discard(id);
      stream.cancel();
    }
  }

  private final class OpenStream implements ServerStream {
    private final long id;
    private boolean requestReceived;
    private long creditBeforeRequest;
    private @Nullable StreamHandler handler;

    OpenStream(long id) {
      this.id = id;
    }

    @Override
    public void send(Response response) {
      loop.execute(() -> write(response, false));
    }

    @Override
    public void finish(Response response) {
      loop.execute(() -> write(response, true));
    }

    @Override
    public void refuse(ResetReason reason) {
      loop.execute(
          () -> {
            if (!closed && streams.remove(id) != null) {
              ServerConnection.this.write(
                  Frame.newBuilder().setStream(id).setReset(Reset.newBuilder().setReason(reason)));
            }
          });
    }

    private void write(Response response, boolean last) {
      if (closed || !streams.containsKey(id)) {
        return;
      }
      if (last) {
        streams.remove(id);
      }
      outgoing().send(id, response, last, () -> {});
    }

    private void cancel() {
      if (handler != null) {
        handler.onCancel();
      }
    }
  }
}
