/** Ejection of slow or failing replicas from an entry daemon's choices. */
@NullMarked
package dev.apricotmill.core.health;

import org.jspecify.annotations.NullMarked;
