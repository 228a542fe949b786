package dev.apricotmill.node.relay;

import dev.apricotmill.node.relay.RelayFixture.SentExchange;

/** What one server does with one send: correct bytes in any pieces, or a failure at any point. */
final class ScriptedAnswer {

  private static final int EVENTS = 4;
  private static final String WHOLE = "a whole answer";

  /** What can happen next; steps that do not fit the state do nothing. */
  enum Step {
    HEAD,
    REFUSAL,
    SERVER_ERROR,
    PIECE,
    LONG_PIECE,
    END,
    EARLY_END,
    BREAK,
    NEVER_LEFT,
    TIME_PASSES,
    CALLER_LEAVES,
    CALLER_READS
  }

  private final SentExchange exchange;
  private final String bytes;
  private int position;
  private boolean head;
  private boolean over;
  private boolean refused;
  private boolean neverLeft;

  ScriptedAnswer(SentExchange exchange, boolean streams) {
    this.exchange = exchange;
    long after = exchange.send().resumeAfter().orElse(0);
    bytes = streams ? eventsAfter(after) : WHOLE;
  }

  static String wholeBody(boolean streams) {
    return streams ? eventsAfter(0) : WHOLE;
  }

  private static String eventsAfter(long last) {
    StringBuilder events = new StringBuilder();
    for (long id = last + 1; id <= EVENTS; id++) {
      events.append("id: ").append(id).append("\ndata: word").append(id).append("\n\n");
    }
    return events.toString();
  }

  boolean isOver() {
    return over;
  }

  boolean neverLeft() {
    return neverLeft;
  }

  boolean surelyNotRun() {
    return neverLeft || refused;
  }

  void apply(Step step) {
    if (over || exchange.cancelled()) {
      return;
    }
    switch (step) {
      case HEAD -> head(200, false);
      case REFUSAL -> {
        if (!head) {
          refused = true;
          over = true;
          head(503, true);
          exchange.end();
        }
      }
      case SERVER_ERROR -> {
        if (!head) {
          over = true;
          head(500, false);
          exchange.body("error");
          exchange.end();
        }
      }
      case PIECE -> piece(7);
      case LONG_PIECE -> piece(40);
      case END -> {
        if (head && position == bytes.length()) {
          over = true;
          exchange.end();
        }
      }
      case EARLY_END -> {
        if (head && isWithinAnEvent()) {
          over = true;
          exchange.end();
        }
      }
      case BREAK -> {
        over = true;
        exchange.fail(true);
      }
      case NEVER_LEFT -> {
        if (!head) {
          over = true;
          neverLeft = true;
          exchange.fail(false);
        }
      }
      default -> throw new IllegalArgumentException("no step of a server: " + step);
    }
  }

  private boolean isWithinAnEvent() {
    String passed = bytes.substring(0, position);
    return !bytes.equals(WHOLE) && !passed.isEmpty() && !passed.endsWith("\n\n");
  }

  private void head(int status, boolean notRun) {
    if (!head) {
      head = true;
      exchange.head(status, notRun);
    }
  }

  private void piece(int length) {
    if (head && position < bytes.length()) {
      int end = Math.min(bytes.length(), position + length);
      String piece = bytes.substring(position, end);
      position = end;
      exchange.body(piece);
    }
  }
}
