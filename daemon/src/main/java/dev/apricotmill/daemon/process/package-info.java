/** The process around a node: its parts, its logs and traces, and its end. */
@NullMarked
package dev.apricotmill.daemon.process;

import org.jspecify.annotations.NullMarked;
