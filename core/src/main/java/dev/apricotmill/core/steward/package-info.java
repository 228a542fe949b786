/**
 * Admission, queueing and memory accounting for one replica. They run at the replica's steward, the
 * daemon that owns the replica and schedules its work.
 */
@NullMarked
package dev.apricotmill.core.steward;

import org.jspecify.annotations.NullMarked;
