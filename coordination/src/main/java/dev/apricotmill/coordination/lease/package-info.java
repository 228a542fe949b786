/** A lease in the platform's object store, whose fencing number increases with every holder. */
@NullMarked
package dev.apricotmill.coordination.lease;

import org.jspecify.annotations.NullMarked;
