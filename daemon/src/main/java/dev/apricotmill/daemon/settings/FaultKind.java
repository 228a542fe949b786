package dev.apricotmill.daemon.settings;

/** The ways in which a setting can be invalid. */
public enum FaultKind {
  /** The setting is required and was not given. */
  MISSING("is required"),
  /** The text is not an IP address. */
  NOT_AN_IP_NUMBER("must be an IP address"),
  /** The text is not of the form IP:port. */
  NOT_AN_ADDRESS("must be of the form IP:port"),
  /** The text is not a whole number in the allowed range. */
  NUMBER_OUT_OF_RANGE("must be a whole number in the allowed range"),
  /** The text is not a number of seconds in the allowed range. */
  SECONDS_OUT_OF_RANGE("must be a number of seconds in the allowed range"),
  /** The text is not a valid name. */
  NOT_A_NAME("must be 1 to 63 letters, digits, dots, underscores or hyphens"),
  /** The text is not an HTTP or HTTPS URL. */
  NOT_A_URL("must be an http or https URL"),
  /** The text is not one of the allowed values. */
  NOT_A_CHOICE("must be one of the allowed values"),
  /** The default time limit is longer than the maximum. */
  ABOVE_MAXIMUM("must not exceed --maximum-time-limit"),
  /** The text is not a SHA-256 hash in hexadecimal. */
  NOT_A_HASH("must be 64 hexadecimal digits"),
  /** The file cannot be read. */
  NOT_READABLE("must name a readable file"),
  /** Only some of the settings that belong together were given. */
  INCOMPLETE("must be given together with the other --tls settings"),
  /** Two listeners have the same address and port. */
  PORT_TAKEN_TWICE("must differ from the other ports"),
  /** The flag is unknown, or its value is missing. */
  NOT_UNDERSTOOD("cannot be parsed");

  private final String explanation;

  FaultKind(String explanation) {
    this.explanation = explanation;
  }

  /** Returns the part of the error message that follows the name of the setting. */
  public String explanation() {
    return explanation;
  }
}
