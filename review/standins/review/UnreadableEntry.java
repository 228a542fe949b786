package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Another writer leaves an entry under {@code servers} beside those of the replicas. */
final class UnreadableEntry {

  /** Well below the {@code value_bytes} of the settings, 1,048,576. */
  private static final int FIELD_NAME_LENGTH = 60_000;

  private static final long DRAIN_MILLIS = 2_000;
  private static final long OBSERVED_MILLIS = 8_000;
  private static final long CALL_GAP_MILLIS = 100;
  private static final long RESTART_MILLIS = 15_000;

  private UnreadableEntry() {}

  public static void main(String[] arguments) {
    Lab.main(arguments, UnreadableEntry::run);
  }

  private static int run(Lab lab) throws Exception {
    AtomicLong drainingNanos = new AtomicLong(Long.MAX_VALUE);
    AtomicInteger late = new AtomicInteger();
    Replica.Behaviour old =
        (request, reply) -> {
          boolean isLate = System.nanoTime() - drainingNanos.get() > DRAIN_MILLIS * 1_000_000;
          if (isLate && drainingNanos.get() != Long.MAX_VALUE) {
            late.incrementAndGet();
          }
          lab.record.write("runs      %s at ops-old%s", request.attempt(), isLate ? ", late" : "");
          reply.whole(200, "old");
        };
    Replica leaving = lab.replica("ops-old", "ops", old);
    for (int i = 2; i <= 3; i++) {
      String id = "ops-" + i;
      lab.replica(
          id,
          "ops",
          (request, reply) -> {
            lab.record.write("runs      %s at %s", request.attempt(), id);
            reply.whole(200, id);
          });
    }
    Configuration configuration = new Configuration(1);
    configuration.route("status", "idempotent", "ops", 800, 2);
    lab.store.put("config", "main", configuration.json());
    NodeProcess node = lab.node("node-1");
    lab.waitUntilReady(node);
    Thread.sleep(4000);
    if (!call(lab, node, "before").isWholeSuccess()) {
      return Lab.EXIT_NOT_RUN;
    }

    if (lab.trouble) {
      ObjectNode entry = new ObjectMapper().createObjectNode();
      entry.put("x".repeat(FIELD_NAME_LENGTH), 1);
      lab.store.put("servers", "other", entry);
      lab.record.write("another writer has written servers/other");
      Thread.sleep(4000);
    }
    lab.replica(
        "ops-new",
        "ops",
        (request, reply) -> {
          lab.record.write("runs      %s at ops-new", request.attempt());
          reply.whole(200, "new");
        });
    Thread.sleep(1500);
    leaving.drain();
    drainingNanos.set(System.nanoTime());
    lab.record.write("the store has acknowledged that ops-old is draining");
    for (int i = 1; millisSince(drainingNanos.get()) < OBSERVED_MILLIS; i++) {
      call(lab, node, "call-" + i);
      Thread.sleep(CALL_GAP_MILLIS);
    }
    lab.record.write(
        "requests that reached ops-old over %d ms after that: %d", DRAIN_MILLIS, late.get());
    lab.recordLog(node, "\"store.", 5);

    // What a restart does while the entry is there; it does not count for the result.
    node.close();
    node.waitForEnd(5000);
    node.start();
    boolean ready = node.waitUntilReady(RESTART_MILLIS);
    lab.record.write("after a restart: ready within %d ms: %s", RESTART_MILLIS, ready);
    call(lab, node, "after-restart");
    lab.recordLog(node, "\"store.", 5);
    return late.get() == 0 ? Lab.EXIT_HELD : Lab.EXIT_BROKEN;
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private static Client.Answer call(Lab lab, NodeProcess node, String attempt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Configuration.HOST);
    headers.put("Apricotmill-Attempt-Id", attempt);
    headers.put("Apricotmill-Deadline-Ms", "1500");
    headers.put("Authorization", "Bearer " + Configuration.KEY);
    return lab.call(node, "GET", "/status/x", headers, new byte[0]);
  }
}
