/**
 * Decision logic of the serving layer, free of I/O.
 *
 * <p>Threads, sockets and HTTP are handled in other modules. A decision takes a view of the system,
 * an event and the current time, and returns a typed result. Back ends and peers are accessed
 * through interfaces.
 */
@NullMarked
package dev.apricotmill.core;

import org.jspecify.annotations.NullMarked;
