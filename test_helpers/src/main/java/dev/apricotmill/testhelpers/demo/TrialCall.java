package dev.apricotmill.testhelpers.demo;

/**
 * One request of the trial and what its caller saw.
 *
 * @param kind the kind of request
 * @param subject the key of an order, the prompt of a completion, or a path
 * @param tokens the tokens asked for, zero if none
 * @param result what the caller saw
 */
record TrialCall(Kind kind, String subject, int tokens, CallResult result) {

  /** The kinds of requests. */
  enum Kind {
    /** A streamed completion. */
    COMPLETION,
    /** An order with a key. */
    ORDER,
    /** A status read. */
    READ
  }
}
