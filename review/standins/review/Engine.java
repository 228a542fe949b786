package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** A sound engine: processes all its requests in passes that last as long as the pages say. */
final class Engine {

  static final int STRIDE = 46;
  private static final int CHUNK = 2048;
  private static final double STEP_MILLIS = 0.925;
  private static final double PER_SEQUENCE_MILLIS = 0.00483;
  private static final double CONTEXT_MILLIS_PER_K = 0.00254;
  private static final double READ_PER_MILLI = 256;
  private static final double PAIRS_MILLIS_PER_M = 0.0917;

  private final List<Job> jobs = new ArrayList<>();
  private final Record record;

  /** A request: its prompt is read first, and then each pass writes one event. */
  static final class Job {
    private final String attempt;
    private final Replica.Reply reply;
    private final long prompt;
    private final int events;
    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private long read;
    private int written;

    Job(String attempt, Replica.Reply reply, long prompt, int events) {
      this.attempt = attempt;
      this.reply = reply;
      this.prompt = prompt;
      this.events = events;
    }

    private boolean isWriting() {
      return read == prompt;
    }
  }

  Engine(Record record) {
    this.record = record;
    Thread thread = new Thread(this::work, "engine");
    thread.setDaemon(true);
    thread.start();
  }

  /** Runs a request to its end; returns early if its connection is closed. */
  void run(Job job, CountDownLatch allBegun) throws InterruptedException {
    synchronized (this) {
      jobs.add(job);
      notifyAll();
    }
    job.begun.await();
    allBegun.countDown();
    job.ended.await();
  }

  private void work() {
    try {
      while (true) {
        List<Job> current;
        synchronized (this) {
          while (jobs.isEmpty()) {
            wait();
          }
          current = new ArrayList<>(jobs);
        }
        List<Job> writers = current.stream().filter(Job::isWriting).toList();
        double millis = passMillis(current, writers);
        if (millis > 1000) {
          record.write("engine    begins a pass of %.0f ms for %d writers", millis, writers.size());
        }
        Thread.sleep((long) Math.ceil(millis));
        writers.forEach(this::writeEvent);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads what fits into the steps of a pass; returns how long the pass lasts. */
  private static double passMillis(List<Job> current, List<Job> writers) {
    double context = 0;
    for (Job writer : writers) {
      context += writer.prompt + (double) writer.written * STRIDE;
    }
    double millis = 0;
    for (int step = 0; step < (writers.isEmpty() ? 1 : STRIDE); step++) {
      if (!writers.isEmpty()) {
        millis +=
            STEP_MILLIS
                + PER_SEQUENCE_MILLIS * writers.size()
                + CONTEXT_MILLIS_PER_K * context / 1000;
      }
      Job reader = current.stream().filter(job -> !job.isWriting()).findFirst().orElse(null);
      if (reader != null) {
        long tokens = Math.min(CHUNK, reader.prompt - reader.read);
        double pairs = tokens * (reader.read + tokens / 2.0);
        millis += tokens / READ_PER_MILLI + pairs / 1e6 * PAIRS_MILLIS_PER_M;
        reader.read += tokens;
      }
    }
    return millis;
  }

  private void writeEvent(Job job) {
    try {
      if (job.written == 0) {
        job.reply.beginStream();
      }
      job.reply.event(++job.written);
      job.begun.countDown();
      if (job.written < job.events) {
        return;
      }
      job.reply.endStream();
      record.write("ran       %s to its end", job.attempt);
    } catch (IOException e) {
      record.write(
          "dropped   %s at event %d of %d: its connection is closed",
          job.attempt, job.written, job.events);
    }
    synchronized (this) {
      jobs.remove(job);
    }
    job.ended.countDown();
  }
}
