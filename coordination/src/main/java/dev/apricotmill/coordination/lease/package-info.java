/** A lease on a duty, kept at the platform, whose fencing number grows with every holder. */
@NullMarked
package dev.apricotmill.coordination.lease;

import org.jspecify.annotations.NullMarked;
