/** The process that runs a node: its components, logs, traces and shutdown. */
@NullMarked
package dev.apricotmill.daemon.process;

import org.jspecify.annotations.NullMarked;
