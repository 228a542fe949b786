/** A caller's request and the values that identify it. */
@NullMarked
package dev.apricotmill.core.request;

import org.jspecify.annotations.NullMarked;
