/** Spans for each hop of a request. */
@NullMarked
package dev.apricotmill.node.trace;

import org.jspecify.annotations.NullMarked;
