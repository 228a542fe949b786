/** Following the objects under a prefix of the platform's store. */
@NullMarked
package dev.apricotmill.coordination.follow;

import org.jspecify.annotations.NullMarked;
