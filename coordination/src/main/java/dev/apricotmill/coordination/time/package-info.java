/** Injected time: the wall clock, the monotonic clock and the scheduler, and deadlines on them. */
@NullMarked
package dev.apricotmill.coordination.time;

import org.jspecify.annotations.NullMarked;
