/** The operators' API: liveness, readiness, metrics, status and drain. */
@NullMarked
package dev.apricotmill.daemon.operators;

import org.jspecify.annotations.NullMarked;
