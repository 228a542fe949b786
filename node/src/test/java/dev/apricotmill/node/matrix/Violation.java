package dev.apricotmill.node.matrix;

/**
 * A violated guarantee.
 *
 * @param guarantee the guarantee
 * @param detail what the fakes' logs or the responses show
 */
record Violation(Guarantee guarantee, String detail) {}
