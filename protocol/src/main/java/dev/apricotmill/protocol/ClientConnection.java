package dev.apricotmill.protocol;

import com.google.protobuf.ByteString;
import dev.apricotmill.protocol.generated.Cancel;
import dev.apricotmill.protocol.generated.Credit;
import dev.apricotmill.protocol.generated.Frame;
import dev.apricotmill.protocol.generated.Part;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** The client side of a connection. Its state is confined to the channel's event loop. */
final class ClientConnection extends Connection {

  private final EventLoop loop;
  private final Runnable onClosed;
  private final Map<Long, OpenStream> streams = new LinkedHashMap<>();
  private long lastStreamId;
  private boolean closed;

  ClientConnection(
      String daemonName,
      TransportLimits limits,
      AtomicLong incompleteBytes,
      EventLoop loop,
      Runnable onClosed) {
    super(daemonName, limits, incompleteBytes);
    this.loop = loop;
    this.onClosed = onClosed;
  }

  /** Opens a stream; its request is sent once the peer's hello has been received. */
  ClientStream open(Request request, ResponseListener listener) {
    OpenStream stream = new OpenStream(request, listener);
    loop.execute(stream::start);
    return stream;
  }

  /** Ends every stream after a failed attempt to connect. */
  void connectFailed() {
    loop.execute(this::onClosed);
  }

  @Override
  void onHelloReceived() {
    new ArrayList<>(streams.values()).forEach(OpenStream::sendRequest);
  }

  @Override
  void onFrame(Frame frame) throws IOException {
    OpenStream stream = streams.get(frame.getStream());
    if (stream == null) {
      assembly().discard(frame.getStream());
      return;
    }
    switch (frame.getBodyCase()) {
      case PART -> stream.onPart(frame.getPart());
      case RESET -> stream.endWithLoss(StreamLoss.NOT_SENT);
      default ->
          throw new ProtocolViolationException("unexpected frame " + frame.getBodyCase().name());
    }
  }

  @Override
  void onClosed() {
    if (closed) {
      return;
    }
    closed = true;
    onClosed.run();
    new ArrayList<>(streams.values()).forEach(OpenStream::endWithConnection);
  }

  private final class OpenStream implements ClientStream {
    private final Request request;
    private final ResponseListener listener;
    private long id;
    private boolean requestMayHaveArrived;
    private long creditBeforeRequest;
    private long credit;

    OpenStream(Request request, ResponseListener listener) {
      this.request = request;
      this.listener = listener;
    }

    @Override
    public void grantCredit(long responses) {
      loop.execute(() -> addCredit(responses));
    }

    @Override
    public void cancel() {
      loop.execute(this::cancelStream);
    }

    private void start() {
      if (closed
          || streams.size() >= limits().maximumStreams()
          || request.getSerializedSize() > limits().maximumMessageBytes()) {
        listener.onLoss(StreamLoss.NOT_SENT);
        return;
      }
      id = ++lastStreamId;
      streams.put(id, this);
      if (helloReceived()) {
        sendRequest();
      }
    }

    private void sendRequest() {
      outgoing().send(id, request, false, this::onRequestWritten);
    }

    private void onRequestWritten() {
      requestMayHaveArrived = true;
      if (creditBeforeRequest > 0) {
        sendCredit(creditBeforeRequest);
      }
    }

    private void addCredit(long responses) {
      if (streams.get(id) != this) {
        return;
      }
      credit = saturatedAdd(credit, responses);
      if (requestMayHaveArrived) {
        sendCredit(responses);
      } else {
        creditBeforeRequest = saturatedAdd(creditBeforeRequest, responses);
      }
    }

    private void sendCredit(long responses) {
      write(
          Frame.newBuilder()
              .setStream(id)
              .setCredit(Credit.newBuilder().setResponses(responses).build()));
    }

    private void cancelStream() {
      if (!streams.remove(id, this)) {
        return;
      }
      assembly().discard(id);
      if (helloReceived()) {
        outgoing().discard(id);
        write(Frame.newBuilder().setStream(id).setCancel(Cancel.getDefaultInstance()));
      }
    }

    private void onPart(Part part) throws IOException {
      Optional<ByteString> message = assembly().add(id, part);
      if (message.isEmpty()) {
        listener.onPart(part.getData().size());
        return;
      }
      Response response = Response.parseFrom(message.get());
      if (part.getEndStream()) {
        streams.remove(id);
        listener.onEnd(response);
        return;
      }
      if (credit <= 0) {
        throw new ProtocolViolationException("response without credit on stream " + id);
      }
      credit--;
      listener.onResponse(response);
    }

    private void endWithConnection() {
      endWithLoss(requestMayHaveArrived ? StreamLoss.LOST : StreamLoss.NOT_SENT);
    }

    private void endWithLoss(StreamLoss loss) {
      streams.remove(id);
      assembly().discard(id);
      listener.onLoss(loss);
    }

    private static long saturatedAdd(long first, long second) {
      return first > Long.MAX_VALUE - second ? Long.MAX_VALUE : first + second;
    }
  }
}
