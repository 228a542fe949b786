package dev.apricotmill.testhelpers.demo;

import com.beust.jcommander.JCommander;
import dev.apricotmill.testhelpers.StandInText;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Sends requests of every kind to a running deployment and checks each outcome. */
public final class DemoMain {

  private static final int WRONG_EXIT_CODE = 1;
  private static final int LONG_PROMPT_TOKENS = 200_000;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int ANSWER_TOKENS = 16;
  private static final int OPEN_ANSWER_TOKENS = 300;
  private static final int SHORT_REQUESTS = 12;
  private static final Duration START_PATIENCE = Duration.ofSeconds(60);
  private static final Duration QUIET_PATIENCE = Duration.ofSeconds(60);
  private static final Duration TIME_LIMIT = Duration.ofSeconds(60);
  private static final long OPENING_MILLIS = 1500;

  private final DemoArguments arguments;
  private final StandInLogs logs;
  private final Caller caller = new Caller(TIME_LIMIT);
  private final TimedKeys keys = new TimedKeys(InstantSource.system(), new Random(1));
  private final Report report = new Report();
  private final ExecutorService callers = Executors.newCachedThreadPool();

  private DemoMain(DemoArguments arguments) {
    this.arguments = arguments;
    this.logs = arguments.deployment().logs();
  }

  /** Runs the demonstration; the exit code is 0 only if each outcome was right. */
  public static void main(String[] commandLine) {
    DemoArguments arguments = new DemoArguments();
    JCommander.newBuilder().addObject(arguments).build().parse(commandLine);
    System.exit(new DemoMain(arguments).run() ? 0 : WRONG_EXIT_CODE);
  }

  private boolean run() {
    boolean ready =
        Waiting.until(
            START_PATIENCE,
            () -> arguments.deployment().operatorsAddresses().stream().allMatch(logs::isReady));
    report.fact("every daemon is ready", ready);
    if (ready) {
      question();
      longPromptAmongShortOnes();
      chat();
      orders();
      statusRead();
      killedDaemon();
      memory();
    }
    callers.shutdownNow();
    return report.allRight();
  }

  private String daemon(int index) {
    return arguments
        .deployment()
        .publicAddresses()
        .get(index % arguments.deployment().publicAddresses().size());
  }

  private void question() {
    String prompt = "Which circuit feeds the banner post at the harbour gate?";
    CallResult result = caller.wholeCompletion(daemon(0), prompt, ANSWER_TOKENS);
    report.request("one-line question", result, isWhole(result, prompt, ANSWER_TOKENS));
  }

  private void longPromptAmongShortOnes() {
    String longPrompt = "p".repeat(LONG_PROMPT_TOKENS * CHARACTERS_PER_TOKEN);
    CompletableFuture<CallResult> longCall =
        CompletableFuture.supplyAsync(
            () -> caller.streamCompletion(daemon(1), longPrompt, ANSWER_TOKENS), callers);
    List<CompletableFuture<Void>> shortCalls = new ArrayList<>();
    for (int index = 0; index < SHORT_REQUESTS; index++) {
      int number = index;
      shortCalls.add(CompletableFuture.runAsync(() -> shortQuestion(number), callers));
    }
    shortCalls.forEach(CompletableFuture::join);
    CallResult result = longCall.join();
    report.request("prompt of 200,000 tokens", result, isWhole(result, longPrompt, ANSWER_TOKENS));
  }

  private void shortQuestion(int number) {
    String prompt = "Is post " + number + " under power?";
    CallResult result = caller.streamCompletion(daemon(number), prompt, ANSWER_TOKENS);
    report.request("short question " + number, result, isWhole(result, prompt, ANSWER_TOKENS));
  }

  private void chat() {
    String message = "Which huts are free on the castle square?";
    CallResult streamed = caller.streamChat(daemon(2), message, ANSWER_TOKENS);
    CallResult whole = caller.wholeChat(daemon(3), message, ANSWER_TOKENS);
    boolean same = !whole.text().isEmpty() && streamed.text().equals(whole.text());
    report.request("streamed chat", streamed, streamed.isAnswered() && same);
    report.request("the same chat as a whole", whole, whole.isAnswered() && same);
  }

  private void orders() {
    String key = keys.next();
    CallResult first = caller.order(daemon(0), "/orders/circuits/7/off", key);
    report.request("order with a key", first, first.isAnswered() && !first.replayed());
    CallResult second = caller.order(daemon(4), "/orders/circuits/7/off", key);
    boolean replayed =
        second.isAnswered() && second.replayed() && second.text().equals(first.text());
    report.request("the same key at another daemon", second, replayed);
    report.fact("the order was executed once", logs.ordersWithKey(key) == 1);
  }

  private void statusRead() {
    CallResult result = caller.read(daemon(5), "/status/circuits/7");
    report.request("status read", result, result.isAnswered() && result.status() == 200);
  }

  private void killedDaemon() {
    logs.setServiceFault("order", "late");
    String key = keys.next();
    CompletableFuture<CallResult> order =
        CompletableFuture.supplyAsync(
            () -> caller.order(daemon(0), "/orders/circuits/8/off", key), callers);
    List<CompletableFuture<CallResult>> streams = new ArrayList<>();
    for (int index = 0; index < 2 * arguments.deployment().publicAddresses().size(); index++) {
      int number = index;
      streams.add(
          CompletableFuture.supplyAsync(
              () -> caller.streamCompletion(daemon(number), openPrompt(number), OPEN_ANSWER_TOKENS),
              callers));
    }
    Waiting.pause(OPENING_MILLIS);
    arguments.victim().destroyForcibly();
    System.out.println("-- killed the first daemon with requests open --");
    for (int number = 0; number < streams.size(); number++) {
      openStream(number, streams.get(number).join());
    }
    openOrder(key, order.join());
  }

  private static String openPrompt(int number) {
    return "Describe the history of circuit " + number + ".";
  }

  /** A stream is whole, or it says that it failed, or it broke together with its daemon. */
  private void openStream(int number, CallResult result) {
    boolean atVictim = daemon(number).equals(daemon(0));
    String expected = StandInText.expected(openPrompt(number), OPEN_ANSWER_TOKENS);
    boolean honest =
        result.isAnswered()
            ? result.text().equals(expected)
            : expected.startsWith(result.text()) && (atVictim || !result.isBroken());
    report.request("open stream " + number + (atVictim ? " (killed)" : ""), result, honest);
  }

  private void openOrder(String key, CallResult result) {
    report.request("open order (killed)", result, result.isBroken() || result.isAnswered());
    logs.setServiceFault("order", "none");
    CallResult repeat = caller.order(daemon(1), "/orders/circuits/8/off", key);
    long executions = logs.ordersWithKey(key);
    boolean honest = repeat.isAnswered() ? executions == 1 : !claimsNotRun(repeat, executions);
    report.request("repeat of the open order", repeat, honest && !repeat.isBroken());
    report.fact("it was executed at most once", executions <= 1);
  }

  private static boolean claimsNotRun(CallResult result, long executions) {
    return result.outcome().equals(CallResult.NOT_RUN) && executions > 0;
  }

  private void memory() {
    report.fact(
        "no engine holds memory when quiet",
        Waiting.until(QUIET_PATIENCE, () -> logs.usedTokens() == 0));
  }

  private static boolean isWhole(CallResult result, String prompt, int tokens) {
    return result.isAnswered() && result.text().equals(StandInText.expected(prompt, tokens));
  }
}
