package dev.apricotmill.core.configuration;

import java.util.Optional;

/**
 * One fault of a configuration, with its place.
 *
 * @param kind what is wrong
 * @param pointer the place as a JSON pointer (RFC 6901); in a stored configuration the name of the
 *     part comes first
 * @param position the place in the text, where the text is at hand
 * @param subject the value that is wrong, never a key
 */
public record ConfigurationFault(
    Kind kind, String pointer, Optional<TextPosition> position, String subject) {

  /** Whether a fault keeps a configuration from being accepted. */
  public enum Severity {
    /** The configuration is refused. */
    ERROR,
    /** The configuration is accepted, and the operator is told. */
    WARNING
  }

  /** Returns a fault whose place in the text is not known yet. */
  public static ConfigurationFault at(String pointer, Kind kind, String subject) {
    return new ConfigurationFault(kind, pointer, Optional.empty(), subject);
  }

  /** Returns the same fault at a known place in the text. */
  public ConfigurationFault withPosition(TextPosition known) {
    return new ConfigurationFault(kind, pointer, Optional.of(known), subject);
  }

  /** Returns whether the fault refuses the configuration. */
  public boolean isError() {
    return kind.severity() == Severity.ERROR;
  }

  /** Returns the fault as one line for operators. */
  public String describe() {
    String place = position.map(known -> known + ": ").orElse("");
    String shownPointer = pointer.isEmpty() ? "(whole file)" : pointer;
    String shownSubject = subject.isEmpty() ? "" : ": " + subject;
    return place + shownPointer + ": " + kind.explanation() + shownSubject;
  }

  /** What can be wrong with a configuration. */
  public enum Kind {
    /** The text is not JSON. */
    MALFORMED_JSON("the text is not well-formed JSON"),
    /** The text is larger than a configuration may be. */
    TOO_LARGE("the text is larger than a configuration may be"),
    /** A field that must be present is missing. */
    MISSING_FIELD("the field is missing"),
    /** A field has a name that the format does not know. */
    UNKNOWN_FIELD("the field is unknown"),
    /** A value has another type than the format asks for. */
    WRONG_TYPE("the value has the wrong type, expected"),
    /** A value is none of the words that the format allows. */
    UNKNOWN_WORD("the word is not one of those allowed"),
    /** A number or duration is outside its range. */
    OUT_OF_RANGE("the value is out of range"),
    /** A text does not have the required form. */
    MALFORMED_VALUE("the value does not have the required form"),
    /** An identifier occurs twice. */
    DUPLICATE("the identifier occurs twice"),
    /** Two customers have the same key. */
    DUPLICATE_KEY("another customer has the same key"),
    /** A customer has neither or both of a key and a key hash. */
    KEY_OR_HASH("exactly one of key and keyHash must be given"),
    /** A key is too short to be kept as a plain hash. */
    WEAK_KEY("the key is too short or has characters other than printable ASCII"),
    /** Two replicas have the same address. */
    DUPLICATE_ADDRESS("another replica has the same address"),
    /** A host is not an IP number. */
    NOT_AN_IP_NUMBER("the host is not an IP number"),
    /** A rule names a service that does not exist. */
    UNKNOWN_SERVICE("the service does not exist"),
    /** There are no customers, services or rules at all. */
    EMPTY("there must be at least one entry"),
    /** There are more entries than a configuration may have. */
    TOO_MANY("there are too many entries"),
    /** A service has no replica. */
    NO_REPLICA("the service has no replica"),
    /** A service has no replica in a zone in which other services have some. */
    ZONE_WITHOUT_REPLICA(
        Severity.WARNING,
        "the service has no replica in a zone, which cannot serve it when cut off"),
    /** No rule names the service, so that no request to it may run. */
    SERVICE_WITHOUT_RULE("no rule names the service, so that all its requests would be refused"),
    /** A rule can never match, because an earlier one matches whatever it matches. */
    UNREACHABLE_RULE("the rule never applies, because an earlier rule matches all its requests"),
    /** Two rules that decide differently match some of the same requests. */
    OVERLAPPING_RULES(
        Severity.WARNING,
        "the rule overlaps an earlier one that decides differently and comes first"),
    /** A rule allows at most one run, but the service has no policy for idempotency keys. */
    MISSING_KEY_POLICY("AT_MOST_ONCE needs a plain service with a key policy"),
    /** A key is forgotten while the request that carries it may still run. */
    WINDOW_SHORTER_THAN_TIME_LIMIT("the key window is shorter than the time limit of the rule"),
    /** A method that changes state is marked as idempotent. */
    UNSAFE_METHOD_IDEMPOTENT(
        Severity.WARNING, "requests of this method would be repeated after failures"),
    /** A planned stop ends before it begins. */
    STOP_ENDS_BEFORE_IT_BEGINS("the planned stop ends before it begins"),
    /** Two planned stops of one machine overlap. */
    OVERLAPPING_STOPS("another planned stop of the same machine overlaps"),
    /** Planned stops together take all replicas of a service. */
    STOP_TAKES_LAST_REPLICA("planned stops would leave the service without a replica"),
    /** A part of a stored configuration is missing. */
    MISSING_PART("the part is missing"),
    /** A stored configuration has a part that the format does not know. */
    UNKNOWN_PART("the part is unknown"),
    /** A customer stands in a part where no reader looks for it. */
    MISPLACED("the customer belongs in another part"),
    /** The stored configuration has a format that this program does not read. */
    UNKNOWN_FORMAT("the format is not one that this program reads"),
    /** A part would be larger than the platform takes. */
    PART_TOO_LARGE("the part is larger than the platform takes");

    private final Severity severity;
    private final String explanation;

    Kind(String explanation) {
      this(Severity.ERROR, explanation);
    }

    Kind(Severity severity, String explanation) {
      this.severity = severity;
      this.explanation = explanation;
    }

    /** Returns whether the fault refuses the configuration. */
    public Severity severity() {
      return severity;
    }

    /** Returns what is wrong, for operators. */
    public String explanation() {
      return explanation;
    }
  }
}
