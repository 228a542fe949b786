/** Bounds on the memory that the exchanges of a process use together. */
@NullMarked
package dev.apricotmill.coordination.memory;

import org.jspecify.annotations.NullMarked;
