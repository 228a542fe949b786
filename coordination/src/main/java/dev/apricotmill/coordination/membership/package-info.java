/** Failure detection and gossip among daemons. */
@NullMarked
package dev.apricotmill.coordination.membership;

import org.jspecify.annotations.NullMarked;
