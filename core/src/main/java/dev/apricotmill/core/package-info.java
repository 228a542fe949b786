/**
 * The decisions of the serving layer, without any input or output.
 *
 * <p>Threads, sockets and HTTP stay outside: a decision takes a view, an event and the time and
 * gives a typed result. Back ends and peers are reached through ports.
 */
@NullMarked
package dev.apricotmill.core;

import org.jspecify.annotations.NullMarked;
