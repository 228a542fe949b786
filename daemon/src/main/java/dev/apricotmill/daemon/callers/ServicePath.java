package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The canonical path of a call to a plain service. Rules match paths by prefix, so every other
 * spelling of a path is refused: it could bypass a rule.
 *
 * @param service the plain service
 * @param path the path and query after the service name
 */
record ServicePath(ServiceName service, String path) {

  private static final String PREFIX = "/services/";
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,63}");
  private static final Pattern CANONICAL_PATH =
      Pattern.compile("(/([A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-F]{2})*)*");
  private static final Pattern DOT_OR_EMPTY_SEGMENT = Pattern.compile("(^|/)\\.{1,2}(/|$)|//");
  private static final Pattern FORBIDDEN_ESCAPE =
      Pattern.compile("%(2D|2E|2F|3[0-9]|4[1-9A-F]|5[0-9A]|5C|5F|6[1-9A-F]|7[0-9A]|7E|00)");

  /** Parses a request target; returns empty if its path is not canonical. */
  static Optional<ServicePath> parse(String target) {
    if (!target.startsWith(PREFIX)) {
      return Optional.empty();
    }
    int nameEnd = target.indexOf('/', PREFIX.length());
    String name = target.substring(PREFIX.length(), nameEnd < 0 ? target.length() : nameEnd);
    String rest = nameEnd < 0 ? "/" : target.substring(nameEnd);
    int query = rest.indexOf('?');
    String path = query < 0 ? rest : rest.substring(0, query);
    boolean isCanonical =
        NAME.matcher(name).matches()
            && CANONICAL_PATH.matcher(path).matches()
            && !DOT_OR_EMPTY_SEGMENT.matcher(path).find()
            && !FORBIDDEN_ESCAPE.matcher(path).find();
    return isCanonical
        ? Optional.of(new ServicePath(new ServiceName(name), rest))
        : Optional.empty();
  }

  /** Returns whether a request target addresses a plain service. */
  static boolean isServiceTarget(String target) {
    return target.startsWith(PREFIX);
  }
}
