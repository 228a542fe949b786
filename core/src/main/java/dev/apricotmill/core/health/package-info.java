/** Ejection of slow or failing replicas from an entry daemon's routing. */
@NullMarked
package dev.apricotmill.core.health;

import org.jspecify.annotations.NullMarked;
