package dev.apricotmill.core.configuration;

import java.util.Optional;

/**
 * A fault in a configuration, with its location.
 *
 * @param kind what is wrong
 * @param pointer the location as a JSON pointer (RFC 6901); in a stored configuration it begins
 *     with the name of the part
 * @param position line and column, if the text is available
 * @param subject the faulty value or what was expected, never a key; may be empty
 */
public record ConfigurationFault(
    Kind kind, String pointer, Optional<TextPosition> position, String subject) {

  /** Whether a fault prevents a configuration from being accepted. */
  public enum Severity {
    /** The configuration is refused. */
    ERROR,
    /** The configuration is accepted and the warning is shown to the operator. */
    WARNING
  }

  /** Returns a fault without a position in the text. */
  public static ConfigurationFault at(String pointer, Kind kind, String subject) {
    return new ConfigurationFault(kind, pointer, Optional.empty(), subject);
  }

  /** Returns a copy of the fault with a position in the text. */
  public ConfigurationFault withPosition(TextPosition newPosition) {
    return new ConfigurationFault(kind, pointer, Optional.of(newPosition), subject);
  }

  /** Returns whether the configuration is refused because of the fault. */
  public boolean isError() {
    return kind.severity() == Severity.ERROR;
  }

  /** Returns the fault as one line for operators. */
  public String describe() {
    String shownPosition = position.map(value -> value + ": ").orElse("");
    String shownPointer = pointer.isEmpty() ? "(whole file)" : pointer;
    String shownSubject = subject.isEmpty() ? "" : ": " + subject;
    return shownPosition + shownPointer + ": " + kind.explanation() + shownSubject;
  }

  /** The kinds of faults in a configuration. */
  public enum Kind {
    /** The text is not JSON. */
    MALFORMED_JSON("the text is not well-formed JSON"),
    /** The text is larger than the limit. */
    TOO_LARGE("the text is larger than a configuration may be"),
    /** A field that must be present is missing. */
    MISSING_FIELD("the field is missing"),
    /** The format has no field of that name. */
    UNKNOWN_FIELD("the field is unknown"),
    /** A value does not have the required JSON type. */
    WRONG_TYPE("the value has the wrong type, expected"),
    /** A value is not one of the constants that the format allows. */
    UNKNOWN_WORD("the value is not one of those allowed"),
    /** A number or duration is outside its range. */
    OUT_OF_RANGE("the value is out of range"),
    /** A text does not have the required form. */
    MALFORMED_VALUE("the value does not have the required form"),
    /** An identifier occurs twice. */
    DUPLICATE("the identifier occurs twice"),
    /** Two customers have the same key. */
    DUPLICATE_KEY("another customer has the same key"),
    /** A customer has neither a key nor a key hash, or has both. */
    KEY_OR_HASH("exactly one of key and keyHash must be given"),
    /** A key is too short to be stored as an unsalted hash, or is not printable ASCII. */
    WEAK_KEY("the key is too short or has characters other than printable ASCII"),
    /** Two replicas have the same address. */
    DUPLICATE_ADDRESS("another replica has the same address"),
    /** A host is not an IP address. */
    NOT_AN_IP_NUMBER("the host is not an IP address"),
    /** A rule names a service that does not exist. */
    UNKNOWN_SERVICE("the service does not exist"),
    /** The list of customers, services or rules is empty. */
    EMPTY("there must be at least one entry"),
    /** There are more entries than a configuration may have. */
    TOO_MANY("there are too many entries"),
    /** A service has no replica. */
    NO_REPLICA("the service has no replica"),
    /** A service has no replica in a zone in which other services have replicas. */
    ZONE_WITHOUT_REPLICA(
        Severity.WARNING,
        "the service has no replica in a zone, which cannot serve it when cut off from the others"),
    /** No rule names the service, so no request to it may run. */
    SERVICE_WITHOUT_RULE("no rule names the service, so all its requests would be refused"),
    /** A rule can never apply, because an earlier rule matches all its requests. */
    UNREACHABLE_RULE("the rule never applies, because an earlier rule matches all its requests"),
    /** Two rules with different decisions match some of the same requests. */
    OVERLAPPING_RULES(
        Severity.WARNING,
        "the rule overlaps an earlier one that decides differently and takes precedence"),
    /** A rule allows at most one run, but the service has no policy for idempotency keys. */
    MISSING_KEY_POLICY("AT_MOST_ONCE needs a plain service with a key policy"),
    /** A key would expire while its request may still be running. */
    WINDOW_SHORTER_THAN_TIME_LIMIT("the key window is shorter than the time limit of the rule"),
    /** A method that changes state is marked as idempotent. */
    UNSAFE_METHOD_IDEMPOTENT(
        Severity.WARNING, "requests of this method would be repeated after failures"),
    /** A planned stop ends before it begins. */
    STOP_ENDS_BEFORE_IT_BEGINS("the planned stop ends before it begins"),
    /** Two planned stops of one machine overlap. */
    OVERLAPPING_STOPS("another planned stop of the same machine overlaps"),
    /** Planned stops overlap such that all replicas of a service are stopped. */
    STOP_TAKES_LAST_REPLICA("planned stops would leave the service without a replica"),
    /** A part of a stored configuration is missing. */
    MISSING_PART("the part is missing"),
    /** The format has no part of that name. */
    UNKNOWN_PART("the part is unknown"),
    /** A customer is stored in a part other than the one that its identifier hashes to. */
    MISPLACED("the customer belongs in another part"),
    /** The stored configuration has a format that this version cannot read. */
    UNKNOWN_FORMAT("this version cannot read the format"),
    /** A part is larger than the platform's limit for a value. */
    PART_TOO_LARGE("the part is larger than the platform accepts");

    private final Severity severity;
    private final String explanation;

    Kind(String explanation) {
      this(Severity.ERROR, explanation);
    }

    Kind(Severity severity, String explanation) {
      this.severity = severity;
      this.explanation = explanation;
    }

    /** Returns whether faults of this kind are errors or warnings. */
    public Severity severity() {
      return severity;
    }

    /** Returns the message for operators. */
    public String explanation() {
      return explanation;
    }
  }
}
