/** Fairness between customers: fair queues, and limits without a central counter. */
@NullMarked
package dev.apricotmill.core.fairness;

import org.jspecify.annotations.NullMarked;
