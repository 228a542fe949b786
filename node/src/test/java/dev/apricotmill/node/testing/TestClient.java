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

/** Sends requests to daemons of a {@link Deployment} and records the responses. */
public final class TestClient {

  private static final byte[] ORDER_BODY = "{}".getBytes(StandardCharsets.UTF_8);

  private final Deployment deployment;
  private final List<RecordedGeneration> recordedGenerations = new ArrayList<>();
  private final List<RecordedCall> recordedCalls = new ArrayList<>();
  private int sentRequests;

  /** Creates a client of a deployment. */
  public TestClient(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Sends a generation request to a daemon. */
  public RecordedGeneration generate(
      SimulatedDaemon daemon, String prompt, int tokens, Duration timeLimit) {
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
    RecordedGeneration generation = new RecordedGeneration(deployment, daemon, submission);
    recordedGenerations.add(generation);
    daemon.run(generation::submit);
    return generation;
  }

  /** Sends an order with an idempotency key to a daemon. */
  public RecordedCall placeOrder(SimulatedDaemon daemon, String key, Duration timeLimit) {
    return call(daemon, "POST", Optional.of(key), timeLimit);
  }

  /** Reads a status through a daemon. */
  public RecordedCall readStatus(SimulatedDaemon daemon, Duration timeLimit) {
    return call(daemon, "GET", Optional.empty(), timeLimit);
  }

  /** Returns all generation requests that were sent. */
  public ImmutableList<RecordedGeneration> recordedGenerations() {
    return ImmutableList.copyOf(recordedGenerations);
  }

  /** Returns all calls that were sent. */
  public ImmutableList<RecordedCall> recordedCalls() {
    return ImmutableList.copyOf(recordedCalls);
  }

  private RecordedCall call(
      SimulatedDaemon daemon, String method, Optional<String> key, Duration timeLimit) {
    CallSubmission submission =
        new CallSubmission(
            nextId(),
            SampleConfiguration.CUSTOMER_KEY,
            SampleConfiguration.ORDERS,
            method,
            "/posts/1",
            ImmutableMap.of(),
            method.equals("POST") ? ORDER_BODY : new byte[0],
            Optional.of(timeLimit),
            key,
            "");
    RecordedCall call = new RecordedCall(deployment, daemon, submission);
    recordedCalls.add(call);
    daemon.run(call::submit);
    return call;
  }

  private RequestId nextId() {
    return new RequestId("request-" + ++sentRequests);
  }
}
