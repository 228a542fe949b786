package dev.apricotmill.testhelpers.service;

/** The calls of a plain service that can go wrong. */
public enum ServiceOperation {
  /** A read, by GET or HEAD. */
  READ,
  /** An order, by any other method. */
  ORDER;

  static ServiceOperation ofMethod(String method) {
    return method.equals("GET") || method.equals("HEAD") ? READ : ORDER;
  }
}
