package dev.apricotmill.core.configuration;

/**
 * A value together with its place, for faults that show only when all values are known.
 *
 * @param pointer the place as a JSON pointer
 * @param value the value
 */
record Located<T>(String pointer, T value) {}
