/** The public HTTP API: completions, chat completions and the relay to plain services. */
@NullMarked
package dev.apricotmill.daemon.callers;

import org.jspecify.annotations.NullMarked;
