package dev.apricotmill.node.relay;

import dev.apricotmill.node.relay.RelayFixture.SentExchange;

/** How one server handles one attempt: correct bytes in any chunks, or a failure at any point. */
final class ScriptedResponse {

  private static final int EVENTS = 4;
  private static final String COMPLETE_BODY = "a whole answer";

  /** The next event; steps that do not fit the state do nothing. */
  enum Step {
    HEAD,
    REFUSAL,
    SERVER_ERROR,
    ERROR_LIKE_A_REFUSAL,
    CHUNK,
    LONG_CHUNK,
    END,
    PREMATURE_END,
    CONNECTION_LOSS,
    CONNECT_FAILURE,
    TIME_PASSES,
    CALLER_DISCONNECTS,
    CALLER_READS
  }

  private final SentExchange exchange;
  private final String bytes;
  private int position;
  private boolean head;
  private boolean ended;
  private boolean refused;
  private boolean neverSent;

  ScriptedResponse(SentExchange exchange, boolean isStream) {
    this.exchange = exchange;
    long lastReceivedId = exchange.request().resumeAfterEvent().orElse(0);
    bytes = isStream ? eventsAfter(lastReceivedId) : COMPLETE_BODY;
  }

  static String completeBody(boolean isStream) {
    return isStream ? eventsAfter(0) : COMPLETE_BODY;
  }

  private static String eventsAfter(long lastId) {
    StringBuilder events = new StringBuilder();
    for (long id = lastId + 1; id <= EVENTS; id++) {
      events.append("id: ").append(id).append("\ndata: word").append(id).append("\n\n");
    }
    return events.toString();
  }

  boolean hasEnded() {
    return ended;
  }

  boolean neverSent() {
    return neverSent;
  }

  boolean isKnownNotRun() {
    return neverSent || refused;
  }

  void apply(Step step) {
    if (ended || exchange.cancelled()) {
      return;
    }
    switch (step) {
      case HEAD -> head(200, false);
      case REFUSAL -> {
        if (!head) {
          refused = true;
          ended = true;
          head(503, true);
          exchange.end();
        }
      }
      case SERVER_ERROR -> endWithError(500);
      case ERROR_LIKE_A_REFUSAL -> endWithError(503);
      case CHUNK -> sendChunk(7);
      case LONG_CHUNK -> sendChunk(40);
      case END -> {
        if (head && position == bytes.length()) {
          ended = true;
          exchange.end();
        }
      }
      case PREMATURE_END -> {
        if (head && isWithinAnEvent()) {
          ended = true;
          exchange.end();
        }
      }
      case CONNECTION_LOSS -> {
        ended = true;
        exchange.fail(true);
      }
      case CONNECT_FAILURE -> {
        if (!head) {
          ended = true;
          neverSent = true;
          exchange.fail(false);
        }
      }
      default -> throw new IllegalArgumentException("not a step of a server: " + step);
    }
  }

  /** Ends a run of the request with an error. */
  private void endWithError(int status) {
    if (!head) {
      ended = true;
      head(status, false);
      exchange.body("error");
      exchange.end();
    }
  }

  private boolean isWithinAnEvent() {
    String passed = bytes.substring(0, position);
    return !bytes.equals(COMPLETE_BODY) && !passed.isEmpty() && !passed.endsWith("\n\n");
  }

  private void head(int status, boolean notRun) {
    if (!head) {
      head = true;
      exchange.head(status, notRun);
    }
  }

  private void sendChunk(int length) {
    if (head && position < bytes.length()) {
      int end = Math.min(bytes.length(), position + length);
      String chunk = bytes.substring(position, end);
      position = end;
      exchange.body(chunk);
    }
  }
}
