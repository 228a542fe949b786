package dev.apricotmill.cli.command;

import java.util.concurrent.CompletionStage;

/** Waits for the outcome of a call; tests let virtual time pass instead. */
public interface Awaiter {
  /** Returns the value of a stage that completes normally. */
  <T> T await(CompletionStage<T> stage);
}
