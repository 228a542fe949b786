/** Injected clocks and scheduler, and deadlines on the monotonic clock. */
@NullMarked
package dev.apricotmill.coordination.time;

import org.jspecify.annotations.NullMarked;
