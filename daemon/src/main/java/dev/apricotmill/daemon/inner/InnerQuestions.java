package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.protocol.ClientStream;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.ResponseListener;
import dev.apricotmill.protocol.StreamLoss;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Asks other nodes questions that have one answer. */
public final class InnerQuestions {

  private final InnerClient client;
  private final Timing timing;

  /** Creates the asking side. */
  public InnerQuestions(InnerClient client, Timing timing) {
    this.client = client;
    this.timing = timing;
  }

  /**
   * Asks a node.
   *
   * @param then takes the answer once, on any thread; empty if none came in time
   */
  void ask(PeerAddress peer, Request request, Duration timeout, Consumer<Optional<Response>> then) {
    Question question = new Question(then);
    ClientStream stream = client.open(address(peer), request, question);
    timing.schedule(
        timeout,
        () -> {
          if (question.settle(Optional.empty())) {
            stream.cancel();
          }
        });
  }

  /** Tells a node something; a message that is lost is not sent again. */
  void tell(PeerAddress peer, Request request) {
    client.open(address(peer), request, new Question(nothing -> {}));
  }

  private static InetSocketAddress address(PeerAddress peer) {
    return new InetSocketAddress(peer.host(), peer.port());
  }

  /** Settles a question once, by its answer, its loss or its timeout. */
  private static final class Question implements ResponseListener {

    private final Consumer<Optional<Response>> then;
    private final AtomicBoolean settled = new AtomicBoolean();

    Question(Consumer<Optional<Response>> then) {
      this.then = then;
    }

    boolean settle(Optional<Response> answer) {
      boolean first = settled.compareAndSet(false, true);
      if (first) {
        then.accept(answer);
      }
      return first;
    }

    @Override
    public void onResponse(Response response) {
      settle(Optional.empty());
    }

    @Override
    public void onEnd(Response response) {
      settle(Optional.of(response));
    }

    @Override
    public void onLoss(StreamLoss loss) {
      settle(Optional.empty());
    }
  }
}
