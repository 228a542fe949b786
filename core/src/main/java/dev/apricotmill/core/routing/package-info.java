/** Routing of a request to a replica and to the steward that owns the replica. */
@NullMarked
package dev.apricotmill.core.routing;

import org.jspecify.annotations.NullMarked;
