package dev.apricotmill.daemon.settings;

/** What is wrong with a setting. */
public enum FaultKind {
  /** The setting is required and was not given. */
  MISSING("is required"),
  /** The text is not an IP number. */
  NOT_AN_IP_NUMBER("must be an IP number"),
  /** The text is not of the form IP:port. */
  NOT_AN_ADDRESS("must be of the form IP:port"),
  /** The text is not a whole number in the allowed range. */
  NUMBER_OUT_OF_RANGE("must be a whole number in its range"),
  /** The text is not a number of seconds in the allowed range. */
  SECONDS_OUT_OF_RANGE("must be a number of seconds in its range"),
  /** The text is not a name. */
  NOT_A_NAME("must be 1 to 63 letters, digits, dots, underscores or hyphens"),
  /** The text is not a URL. */
  NOT_A_URL("must be an http or https URL"),
  /** The text is not one of the allowed words. */
  NOT_A_CHOICE("is not one of the choices"),
  /** The default is larger than the maximum. */
  ABOVE_MAXIMUM("must not exceed --maximum-time-limit"),
  /** The text is not a hash. */
  NOT_A_HASH("must be 64 hexadecimal digits"),
  /** The file cannot be read. */
  NOT_READABLE("must name a file that can be read"),
  /** Only some of the settings that belong together were given. */
  INCOMPLETE("must be given together with the other --tls settings"),
  /** Two ports are the same. */
  PORT_TAKEN_TWICE("must differ from the other ports"),
  /** No such flag, or a flag without its value. */
  NOT_UNDERSTOOD("is not understood");

  private final String explanation;

  FaultKind(String explanation) {
    this.explanation = explanation;
  }

  /** Returns the explanation that follows the name of the setting. */
  public String explanation() {
    return explanation;
  }
}
