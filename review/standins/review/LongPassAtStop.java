package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A node is stopped while a full engine reads the prompt of a preempted stream again. */
final class SilentReplicaAtStop {

  private static final int ENGINES = 3;
  private static final int SLOTS = 11;
  private static final long EVENT_MILLIS = 300;
  private static final int EVENTS = 22;
  private static final String NEWEST = "newest";
  private static final int NEWEST_EVENTS = 6;

  /** A client of such a route waits six seconds for the next event. */
  private static final long PREEMPTED_MILLIS = 3000;

  private SilentReplicaAtStop() {}

  public static void main(String[] arguments) {
    Lab.main(arguments, SilentReplicaAtStop::run);
  }

  private static int run(Lab lab) throws Exception {
    CountDownLatch begun = new CountDownLatch(ENGINES * SLOTS - 1);
    CountDownLatch preempted = new CountDownLatch(1);
    for (int i = 1; i <= ENGINES; i++) {
      String id = "engine-" + i;
      lab.replica(
          id,
          "pool",
          (request, reply) -> {
            boolean newest = request.attempt().equals(NEWEST);
            lab.record.write(
                "runs      %s at %s, last event %s",
                request.attempt(), id, request.headers().getOrDefault("last-event-id", "none"));
            reply.beginStream();
            int events = newest ? NEWEST_EVENTS : EVENTS;
            for (int event = 1; event <= events; event++) {
              reply.event(event);
              begun.countDown();
              Thread.sleep(EVENT_MILLIS);
              if (newest && event == 2) {
                preempted.countDown();
                if (lab.trouble) {
                  lab.record.write("preempted %s at %s", request.attempt(), id);
                  Thread.sleep(PREEMPTED_MILLIS);
                  lab.record.write("continues %s at %s", request.attempt(), id);
                }
              }
            }
            reply.endStream();
            lab.record.write("ran       %s at %s", request.attempt(), id);
          });
    }
    Configuration configuration = new Configuration(1);
    configuration.stream("review", 1500, 500, 10_000);
    lab.store.put("config", "main", configuration.json());
    NodeProcess stopped = lab.node("node-1");
    NodeProcess other = lab.node("node-2");
    lab.waitUntilReady(stopped);
    lab.waitUntilReady(other);
    Thread.sleep(4000);

    List<Future<Client.Answer>> answers = new ArrayList<>();
    for (int i = 1; i < ENGINES * SLOTS; i++) {
      String attempt = "stream-" + i;
      NodeProcess node = i % 2 == 0 ? stopped : other;
      answers.add(lab.async(() -> call(lab, node, attempt)));
      Thread.sleep(20);
    }
    if (!begun.await(8, TimeUnit.SECONDS)) {
      lab.record.write("not all streams have begun");
      return Lab.EXIT_NOT_RUN;
    }
    Future<Client.Answer> newest = lab.async(() -> call(lab, stopped, NEWEST));
    if (!preempted.await(5, TimeUnit.SECONDS)) {
      lab.record.write("the newest stream did not begin");
      return Lab.EXIT_NOT_RUN;
    }
    if (lab.trouble) {
      lab.record.write("SIGTERM   node-1");
      stopped.signal("TERM");
    }
    Client.Answer answer = newest.get(20, TimeUnit.SECONDS);
    int cut = answer.isWholeSuccess() ? 0 : 1;
    for (Future<Client.Answer> future : answers) {
      future.get(30, TimeUnit.SECONDS);
    }
    lab.recordLog(stopped, NEWEST, 10);
    return cut == 0 ? Lab.EXIT_HELD : Lab.EXIT_BROKEN;
  }

  private static Client.Answer call(Lab lab, NodeProcess node, String attempt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Configuration.HOST);
    headers.put("Apricotmill-Attempt-Id", attempt);
    headers.put("Apricotmill-Model", "m");
    headers.put("Apricotmill-Token-Count", "40000,900");
    headers.put("Apricotmill-Prefix-Hash", "5c1e07a2:40," + attempt.hashCode() % 1000 + ":39960");
    headers.put("Apricotmill-Deadline-Ms", "10000");
    headers.put("Authorization", "Bearer " + Configuration.KEY);
    return lab.call(node, "POST", "/review/x", headers, "prompt".getBytes());
  }
}
