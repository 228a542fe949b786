/** Follows the objects under prefixes of the platform's store. */
@NullMarked
package dev.apricotmill.coordination.follow;

import org.jspecify.annotations.NullMarked;
