package dev.apricotmill.benchmarks.fleet;

import org.jspecify.annotations.Nullable;

/** One sequence on an engine, and who listens to it. */
public final class EngineSequence {

  private final String id;
  private final long promptTokens;
  private final long memoryTokens;
  private final int outputTokens;
  private final int priority;
  private final long prefixHash;
  private final long prefixTokens;
  private final Listener listener;
  private long unreadTokens;
  private int generated;
  private long arrival;

  /**
   * Creates a sequence.
   *
   * @param id the identifier
   * @param promptTokens the prompt's true length
   * @param memoryTokens the memory that it takes until it ends
   * @param outputTokens the answer's true length
   * @param priority a lower number goes first
   * @param prefix the prefix that it shares with others, or null
   * @param listener who is told of first token and end
   */
  public EngineSequence(
      String id,
      long promptTokens,
      long memoryTokens,
      int outputTokens,
      int priority,
      @Nullable Prefix prefix,
      Listener listener) {
    this.id = id;
    this.promptTokens = promptTokens;
    this.memoryTokens = memoryTokens;
    this.outputTokens = outputTokens;
    this.priority = priority;
    this.prefixHash = prefix == null ? 0 : prefix.hash();
    this.prefixTokens = prefix == null ? 0 : Math.min(prefix.tokens(), promptTokens - 1);
    this.listener = listener;
    this.unreadTokens = promptTokens;
  }

  String id() {
    return id;
  }

  long promptTokens() {
    return promptTokens;
  }

  long memoryTokens() {
    return memoryTokens;
  }

  int priority() {
    return priority;
  }

  long prefixHash() {
    return prefixHash;
  }

  Listener listener() {
    return listener;
  }

  long unreadTokens() {
    return unreadTokens;
  }

  long arrival() {
    return arrival;
  }

  void arrived(long number) {
    arrival = number;
  }

  void skipCachedPrefix() {
    unreadTokens = promptTokens - prefixTokens;
  }

  void read(long tokens) {
    unreadTokens -= tokens;
  }

  /** Generates one token; returns whether the answer is complete. */
  boolean generate() {
    generated++;
    return generated >= outputTokens;
  }

  /**
   * A prefix that prompts share.
   *
   * @param hash its fingerprint
   * @param tokens its length
   */
  public record Prefix(long hash, long tokens) {}

  /** Is told what becomes of a sequence. */
  public interface Listener {

    /** The first token was generated. */
    void onFirstToken(long promptTokens);

    /** The answer is complete. */
    void onFinished();

    /** The engine died. */
    void onBroken();
  }
}
