package dev.apricotmill.testhelpers;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Utf8;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/** The text that a stand-in engine generates: a function of the prompt and the position alone. */
public final class StandInText {

  private static final int BYTES_PER_TOKEN = 4;
  private static final HashFunction HASH = Hashing.murmur3_128(20_261_120);

  private StandInText() {}

  /** Returns the number of tokens of a text as the stand-in engine counts them. */
  public static long tokens(String text) {
    return Math.max(1, (Utf8.encodedLength(text) + BYTES_PER_TOKEN - 1L) / BYTES_PER_TOKEN);
  }

  /** Returns a seed of a prompt's answer, to be passed to {@link #token}. */
  public static long seed(String prompt) {
    return HASH.hashString(prompt, UTF_8).asLong();
  }

  /** Returns the token at {@code position} of the answer with {@code seed}. */
  public static String token(long seed, long position) {
    long hash = HASH.newHasher().putLong(seed).putLong(position).hash().asLong();
    return String.format("%04x ", hash & 0xFFFF);
  }

  /** Returns the whole answer of {@code tokens} tokens to {@code prompt}. */
  public static String expected(String prompt, long tokens) {
    long seed = seed(prompt);
    StringBuilder text = new StringBuilder();
    for (long position = 0; position < tokens; position++) {
      text.append(token(seed, position));
    }
    return text.toString();
  }
}
