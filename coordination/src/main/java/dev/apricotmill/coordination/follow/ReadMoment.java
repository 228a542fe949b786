package dev.apricotmill.coordination.follow;

/**
 * When a read was sent, on two clocks. What it answered was true at that moment or later.
 *
 * @param steadyNanos the steady clock
 * @param wallMillis the time of day in milliseconds of Unix time
 */
public record ReadMoment(long steadyNanos, long wallMillis) {}
