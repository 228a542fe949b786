/** Interfaces through which daemons forward requests to each other. */
@NullMarked
package dev.apricotmill.core.peer;

import org.jspecify.annotations.NullMarked;
