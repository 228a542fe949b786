package dev.apricotmill.core.configuration;

/**
 * A value with its location, for faults that can only be found once all values are read.
 *
 * @param pointer the location as a JSON pointer
 * @param value the value
 */
record Located<T>(String pointer, T value) {}
