package dev.apricotmill.daemon.operators;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * The operators' bearer token, of which only the hash is known. It is separate from customers'
 * keys.
 *
 * @param hash SHA-256 in lower-case hexadecimal, empty if no token is required
 */
public record OperatorsToken(Optional<String> hash) {

  private static final String BEARER = "Bearer ";

  /** Returns whether an Authorization header carries the token, or no token is required. */
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
