package dev.apricotmill.node.matrix;

/**
 * A broken promise.
 *
 * @param guarantee which one
 * @param detail what was seen in the fakes' logs
 */
record Violation(Guarantee guarantee, String detail) {}
