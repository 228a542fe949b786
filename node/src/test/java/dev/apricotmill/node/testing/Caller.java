package dev.apricotmill.node.testing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.node.api.CallSubmission;
import dev.apricotmill.node.api.GenerationSubmission;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Sends requests to daemons of a {@link Deployment} and remembers what came back. */
public final class Caller {

  private static final byte[] ORDER = "{}".getBytes(StandardCharsets.UTF_8);

  private final Deployment deployment;
  private final List<Asked> asked = new ArrayList<>();
  private final List<Ordered> ordered = new ArrayList<>();
  private int sent;

  /** Creates a caller. */
  public Caller(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Asks a daemon for generated text. */
  public Asked ask(SimulatedDaemon daemon, String prompt, int tokens, Duration timeLimit) {
    GenerationSubmission submission =
        new GenerationSubmission(
            nextId(),
            SampleConfiguration.CUSTOMER_KEY,
            SampleConfiguration.POOL,
            prompt,
            tokens,
            Optional.of(timeLimit),
            Optional.empty(),
            "");
    Asked question = new Asked(deployment, daemon, submission);
    asked.add(question);
    daemon.run(question::submit);
    return question;
  }

  /** Sends a daemon an order with a key. */
  public Ordered order(SimulatedDaemon daemon, String key, Duration timeLimit) {
    return call(daemon, "POST", Optional.of(key), timeLimit);
  }

  /** Reads a status through a daemon. */
  public Ordered read(SimulatedDaemon daemon, Duration timeLimit) {
    return call(daemon, "GET", Optional.empty(), timeLimit);
  }

  /** Returns all questions that were asked. */
  public ImmutableList<Asked> asked() {
    return ImmutableList.copyOf(asked);
  }

  /** Returns all calls that were made. */
  public ImmutableList<Ordered> ordered() {
    return ImmutableList.copyOf(ordered);
  }

  private Ordered call(
      SimulatedDaemon daemon, String method, Optional<String> key, Duration timeLimit) {
    CallSubmission submission =
        new CallSubmission(
            nextId(),
            SampleConfiguration.CUSTOMER_KEY,
            SampleConfiguration.ORDERS,
            method,
            "/posts/1",
            ImmutableMap.of(),
            method.equals("POST") ? ORDER : new byte[0],
            Optional.of(timeLimit),
            key,
            "");
    Ordered call = new Ordered(deployment, daemon, submission);
    ordered.add(call);
    daemon.run(call::submit);
    return call;
  }

  private RequestId nextId() {
    return new RequestId("request-" + ++sent);
  }
}
