package dev.apricotmill.node.matrix;

/**
 * A broken promise.
 *
 * @param promise which one
 * @param detail what was seen in the fakes' logs
 */
record Violation(Promise promise, String detail) {}
