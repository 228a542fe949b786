/** The choice of a replica, and so of its steward, for a request. */
@NullMarked
package dev.apricotmill.core.routing;

import org.jspecify.annotations.NullMarked;
