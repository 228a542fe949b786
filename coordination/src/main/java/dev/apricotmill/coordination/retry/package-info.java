/** How often and when to try again: a back-off with jitter and a budget of retries. */
@NullMarked
package dev.apricotmill.coordination.retry;

import org.jspecify.annotations.NullMarked;
