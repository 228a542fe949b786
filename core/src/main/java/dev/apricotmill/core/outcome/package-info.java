/** Outcomes of requests, as reported to callers. */
@NullMarked
package dev.apricotmill.core.outcome;

import org.jspecify.annotations.NullMarked;
