/** Tracing spans for the hops of a request. */
@NullMarked
package dev.apricotmill.node.trace;

import org.jspecify.annotations.NullMarked;
