/** Shares between customers: fair queues and limits that need no central counter. */
@NullMarked
package dev.apricotmill.core.fairness;

import org.jspecify.annotations.NullMarked;
