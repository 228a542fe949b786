package dev.apricotmill.testhelpers.http;

import dev.apricotmill.testhelpers.fault.Fault;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.nio.AsyncResponseProducer;
import org.apache.hc.core5.http.nio.AsyncServerRequestHandler.ResponseTrigger;
import org.apache.hc.core5.http.protocol.HttpContext;

/** Answers one request, from any thread. */
public final class StandInReply {

  private static final Logger LOGGER = System.getLogger(StandInReply.class.getName());

  private final ResponseTrigger trigger;
  private final HttpContext context;

  StandInReply(ResponseTrigger trigger, HttpContext context) {
    this.trigger = trigger;
    this.context = context;
  }

  /** Sends a whole answer. */
  public void send(StandInAnswer answer) {
    send(answer, Fault.NONE);
  }

  /** Sends a whole answer that {@code fault} spoils on the way. */
  public void send(StandInAnswer answer, Fault fault) {
    submit(WholeAnswerProducer.of(answer, fault));
  }

  /** Begins a stream of server-sent events. */
  public EventStream stream() {
    EventStream stream = new EventStream();
    submit(stream);
    return stream;
  }

  private void submit(AsyncResponseProducer producer) {
    try {
      trigger.submitResponse(producer, context);
    } catch (HttpException | IOException | IllegalStateException gone) {
      LOGGER.log(Level.DEBUG, "stand-in: the caller is gone", gone);
    }
  }
}
