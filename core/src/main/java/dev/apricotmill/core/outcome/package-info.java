/** What became of a request, as a sealed type that the caller sees. */
@NullMarked
package dev.apricotmill.core.outcome;

import org.jspecify.annotations.NullMarked;
