package dev.apricotmill.daemon.operators;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * The token that operators show, known by its hash alone. It is apart from customers' keys.
 *
 * @param hash SHA-256 in lower-case hexadecimal, empty if no token is asked for
 */
public record OperatorsToken(Optional<String> hash) {

  private static final String BEARER = "Bearer ";

  /** Returns whether an authorization header shows the token. */
  boolean authorizes(Optional<String> authorization) {
    if (hash.isEmpty()) {
      return true;
    }
    return authorization.filter(value -> value.startsWith(BEARER)).stream()
        .map(value -> value.substring(BEARER.length()).strip())
        .anyMatch(this::matches);
  }

  private boolean matches(String token) {
    byte[] actual = Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
    byte[] expected = BaseEncoding.base16().lowerCase().decode(hash.orElseThrow());
    return MessageDigest.isEqual(actual, expected);
  }
}
