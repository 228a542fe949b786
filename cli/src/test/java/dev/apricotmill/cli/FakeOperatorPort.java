package dev.apricotmill.cli;

import dev.apricotmill.cli.command.OperatorAnswer;
import dev.apricotmill.cli.command.OperatorPort;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Operators' ports that give the answers that a test prepared; the last answer repeats. */
public final class FakeOperatorPort implements OperatorPort {
  private final Map<String, Deque<OperatorAnswer>> answers = new HashMap<>();
  private final List<String> calls = new ArrayList<>();

  /** Prepares the next answer to a call such as {@code GET 127.0.0.1:9000/status}. */
  public void answer(String call, OperatorAnswer answer) {
    answers.computeIfAbsent(call, unused -> new ArrayDeque<>()).add(answer);
  }

  /** Returns all calls so far. */
  public List<String> calls() {
    return calls;
  }

  @Override
  public CompletionStage<OperatorAnswer> get(PeerAddress daemon, String path, Duration timeout) {
    return call("GET " + daemon + path);
  }

  @Override
  public CompletionStage<OperatorAnswer> post(PeerAddress daemon, String path, Duration timeout) {
    return call("POST " + daemon + path);
  }

  private CompletionStage<OperatorAnswer> call(String call) {
    calls.add(call);
    Deque<OperatorAnswer> prepared = answers.getOrDefault(call, new ArrayDeque<>());
    OperatorAnswer next = prepared.size() > 1 ? prepared.remove() : prepared.peek();
    return CompletableFuture.completedFuture(
        next == null ? new OperatorAnswer.Unreachable() : next);
  }
}
