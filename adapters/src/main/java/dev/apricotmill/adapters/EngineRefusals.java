package dev.apricotmill.adapters;

import com.google.common.primitives.Longs;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineRefusal;
import dev.apricotmill.core.engine.GenerationEnd;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/**
 * Interprets an engine's response to a generation request that is not a stream.
 *
 * <p>A known refusal code or status 400 proves that the sequence did not start; any other error
 * status does not.
 */
final class EngineRefusals {

  private EngineRefusals() {}

  static GenerationEnd endOf(HttpResponse head, String body) {
    String code =
        Json.readObject(body).map(object -> object.path("error").path("code").asText()).orElse("");
    return refusal(head.getCode(), code)
        .<GenerationEnd>map(reason -> new GenerationEnd.NotStarted(reason, retryAfter(head)))
        .orElseGet(() -> new GenerationEnd.Broken(EngineFailure.ENGINE_ERROR));
  }

  private static Optional<EngineRefusal> refusal(int status, String code) {
    return switch (code) {
      case "no_memory" -> Optional.of(EngineRefusal.NO_MEMORY);
      case "not_serving" -> Optional.of(EngineRefusal.NOT_SERVING);
      case "invalid" -> Optional.of(EngineRefusal.INVALID);
      default -> status == 400 ? Optional.of(EngineRefusal.INVALID) : Optional.empty();
    };
  }

  private static Duration retryAfter(HttpResponse head) {
    return Optional.ofNullable(head.getFirstHeader("Retry-After"))
        .map(Header::getValue)
        .map(Longs::tryParse)
        .filter(seconds -> seconds >= 0)
        .map(Duration::ofSeconds)
        .orElse(Duration.ZERO);
  }
}
