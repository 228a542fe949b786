package dev.apricotmill.testhelpers.platform;

/** The calls of the platform that can go wrong. */
public enum PlatformOperation {
  /** Reading one object. */
  GET,
  /** Listing objects. */
  LIST,
  /** Writing or deleting an object. */
  WRITE,
  /** Waiting for changes. */
  WATCH,
  /** Reading the list of VMs. */
  MACHINES
}
