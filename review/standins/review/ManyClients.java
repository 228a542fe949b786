package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once, each with a connection of its own, and leave again. */
final class ManyClients {

  /** A machine has 4,100 descriptors; the node serves 1,300 connections of clients by its limit. */
  private static final int USERS = 1290;

  private static final int USERS_WITHOUT_TROUBLE = 60;

  /** The pace of 160 new connections a second. */
  private static final long USER_GAP_MICROS = 6_250;

  private static final long RECOVERY_MILLIS = 12_000;
  private static final int LATER_CLIENTS = 12;
  private static final long LATER_GAP_MILLIS = 300;

  private ManyClients() {}

  public static void main(String[] arguments) {
    Lab.main(arguments, ManyClients::run);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 1; i <= 3; i++) {
      String id = "ops-" + i;
      lab.replica(
          id,
          "ops",
          (request, reply) -> {
            Thread.sleep(20);
            reply.whole(200, "status of " + request.attempt());
          });
    }
    Configuration configuration = new Configuration(1);
    configuration.route("status", "idempotent", "ops", 800, 2);
    lab.store.put("config", "main", configuration.json());
    NodeProcess node = lab.node("node-1");
    lab.waitUntilReady(node);
    if (!oneCall(lab, node, "before").isWholeSuccess()) {
      return Lab.EXIT_NOT_RUN;
    }

    useConnections(lab, node, lab.trouble ? USERS : USERS_WITHOUT_TROUBLE);
    Thread.sleep(RECOVERY_MILLIS);

    int served = 0;
    int timesReady = 0;
    for (int i = 1; i <= LATER_CLIENTS; i++) {
      int readiness = node.readiness();
      timesReady += readiness == 200 ? 1 : 0;
      lab.record.write("readiness %d, process alive: %s", readiness, node.isAlive());
      served += oneCall(lab, node, "later-" + i).isWholeSuccess() ? 1 : 0;
      Thread.sleep(LATER_GAP_MILLIS);
    }
    lab.record.write(
        "%d clients came later, %d were served; the node was ready %d times",
        LATER_CLIENTS, served, timesReady);
    lab.recordLog(node, "OutOfMemoryError", 5);
    return served * 4 < LATER_CLIENTS ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
  }

  /** Each user connects, gets one answer, and keeps the connection until all have theirs. */
  private static void useConnections(Lab lab, NodeProcess node, int users) throws Exception {
    List<Future<Client>> open = new ArrayList<>();
    AtomicInteger answered = new AtomicInteger();
    long start = System.nanoTime();
    for (int i = 1; i <= users; i++) {
      String attempt = "user-" + i;
      open.add(lab.async(() -> use(lab, node, attempt, answered)));
      long aheadMicros = i * USER_GAP_MICROS - (System.nanoTime() - start) / 1000;
      TimeUnit.MICROSECONDS.sleep(Math.max(0, aheadMicros));
    }
    for (Future<Client> client : open) {
      client.get(10, TimeUnit.SECONDS);
    }
    lab.record.write(
        "%d users came within %d ms, %d got a whole answer",
        users, millisSince(start), answered.get());
    for (Future<Client> client : open) {
      if (client.get() != null) {
        client.get().close();
      }
    }
    lab.record.write("all users have left");
  }

  private static Client use(Lab lab, NodeProcess node, String attempt, AtomicInteger answered) {
    try {
      Client client = new Client(node.callerPort());
      client.send("GET", "/status/x", headers(attempt), new byte[0]);
      Client.Answer answer = client.receive(1500);
      if (answer.isWholeSuccess()) {
        answered.incrementAndGet();
      } else {
        lab.record.write("answered  %s status %d %s", attempt, answer.status(), answer.problem());
      }
      return client;
    } catch (IOException e) {
      lab.record.write("no answer %s %s", attempt, e.getMessage());
      return null;
    }
  }

  private static Client.Answer oneCall(Lab lab, NodeProcess node, String attempt) {
    return lab.call(node, "GET", "/status/x", headers(attempt), new byte[0]);
  }

  private static Map<String, String> headers(String attempt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Configuration.HOST);
    headers.put("Apricotmill-Attempt-Id", attempt);
    headers.put("Apricotmill-Deadline-Ms", "1500");
    headers.put("Authorization", "Bearer " + Configuration.KEY);
    return headers;
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }
}
