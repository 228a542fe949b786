package dev.apricotmill.protocol;

/** The version of the inner protocol, which must be the same on both sides of a connection. */
public final class ProtocolVersion {

  /** The version that this code implements. */
  public static final int CURRENT = 1;

  private ProtocolVersion() {}
}
