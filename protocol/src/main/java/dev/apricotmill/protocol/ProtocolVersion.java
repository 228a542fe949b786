package dev.apricotmill.protocol;

/** The version of the inner protocol, which both sides of a connection must share. */
public final class ProtocolVersion {

  /** The version that this code speaks. */
  public static final int CURRENT = 1;

  private ProtocolVersion() {}
}
