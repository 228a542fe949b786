/** The port through which daemons forward work to each other. */
@NullMarked
package dev.apricotmill.core.peer;

import org.jspecify.annotations.NullMarked;
