package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A node is stopped while the engine of its streams reads a long prompt. */
final class LongPassAtStop {

  private static final int STREAMS = 8;
  private static final int PROMPT_TOKENS = 20_000;
  private static final int EVENTS = 24;

  /** The mean of a district-audit. */
  private static final int AUDIT_TOKENS = 210_000;

  private static final int AUDIT_EVENTS = 17;
  private static final long DEADLINE_MILLIS = 10_000;

  /** An engine still at work in the last sixth of the grace time of 8 s excuses a cut. */
  private static final long EXCUSED_FROM_MILLIS = 8_000 * 5 / 6;

  /** Reading the audit takes 3.1 s, and each event after that less than 0.12 s. */
  private static final long LONGEST_REST_MILLIS = 3_100 + EVENTS * 120;

  private LongPassAtStop() {}

  private record Outcome(Client.Answer answer, long sentNanos, long endedNanos) {}

  public static void main(String[] arguments) {
    Lab.main(arguments, LongPassAtStop::run);
  }

  private static int run(Lab lab) throws Exception {
    Engine engine = new Engine(lab.record);
    CountDownLatch begun = new CountDownLatch(STREAMS);
    CountDownLatch auditArrived = new CountDownLatch(1);
    lab.replica(
        "engine-1",
        "pool",
        (request, reply) -> {
          lab.record.write("runs      %s", request.attempt());
          boolean audit = request.path().startsWith("/audit/");
          if (audit) {
            auditArrived.countDown();
          }
          String[] tokens = request.headers().get("apricotmill-token-count").split(",");
          int events = Integer.parseInt(tokens[1]) / Engine.STRIDE;
          engine.run(
              new Engine.Job(request.attempt(), reply, Long.parseLong(tokens[0]), events), begun);
        });
    Configuration configuration = new Configuration(1);
    configuration.stream("review", 1500, 500, 10_000);
    configuration.stream("audit", 3000, 800, 15_000);
    lab.store.put("config", "main", configuration.json());
    NodeProcess stopped = lab.node("node-1");
    NodeProcess other = lab.node("node-2");
    lab.waitUntilReady(stopped);
    lab.waitUntilReady(other);
    Thread.sleep(4000);

    List<Future<Outcome>> atStopped = new ArrayList<>();
    List<Future<Outcome>> atOther = new ArrayList<>();
    for (int i = 1; i <= STREAMS; i++) {
      String attempt = "review-" + i;
      boolean first = i % 2 == 0;
      (first ? atStopped : atOther)
          .add(
              lab.async(
                  () ->
                      call(lab, first ? stopped : other, "review", attempt, PROMPT_TOKENS, EVENTS)));
    }
    if (!begun.await(10, TimeUnit.SECONDS)) {
      lab.record.write("not all streams have begun");
      return Lab.EXIT_NOT_RUN;
    }
    atOther.add(
        lab.async(() -> call(lab, other, "audit", "audit", AUDIT_TOKENS, AUDIT_EVENTS)));
    if (!auditArrived.await(5, TimeUnit.SECONDS)) {
      lab.record.write("the long prompt did not reach the engine");
      return Lab.EXIT_NOT_RUN;
    }
    if (lab.trouble) {
      lab.record.write("SIGTERM   node-1");
      stopped.signal("TERM");
    }
    int cut = 0;
    int counted = 0;
    for (Future<Outcome> future : atStopped) {
      Outcome outcome = future.get(30, TimeUnit.SECONDS);
      if (!outcome.answer().isWholeSuccess()) {
        cut++;
        boolean deadline =
            (outcome.endedNanos() - outcome.sentNanos()) / 1_000_000 >= DEADLINE_MILLIS;
        boolean late = LONGEST_REST_MILLIS >= EXCUSED_FROM_MILLIS;
        counted += deadline || late ? 0 : 1;
      }
    }
    for (Future<Outcome> future : atOther) {
      future.get(30, TimeUnit.SECONDS);
    }
    lab.record.write(
        "streams of node-1 without a complete answer: %d, of which no excuse holds for %d",
        cut, counted);
    lab.record.write(
        "each would have ended within %d ms of the stop; an engine at work %d ms after it excuses",
        LONGEST_REST_MILLIS, EXCUSED_FROM_MILLIS);
    lab.recordLog(stopped, "send_failed", 8);
    return lab.trouble && counted > 0 ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
  }

  private static Outcome call(
      Lab lab, NodeProcess node, String route, String attempt, int prompt, int events) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Configuration.HOST);
    headers.put("Apricotmill-Attempt-Id", attempt);
    headers.put("Apricotmill-Model", "m");
    headers.put("Apricotmill-Token-Count", prompt + "," + events * Engine.STRIDE);
    headers.put(
        "Apricotmill-Prefix-Hash",
        "5c1e07a2:40," + Integer.toHexString(attempt.hashCode()) + ":" + (prompt - 40));
    headers.put("Apricotmill-Deadline-Ms", route.equals("audit") ? "15000" : "10000");
    headers.put("Authorization", "Bearer " + Configuration.KEY);
    long sent = System.nanoTime();
    Client.Answer answer =
        lab.call(node, "POST", "/" + route + "/x", headers, "prompt".getBytes());
    return new Outcome(answer, sent, System.nanoTime());
  }
}
