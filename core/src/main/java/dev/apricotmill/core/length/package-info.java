/** Prompt lengths: estimates in tokens and classes on a logarithmic scale. */
@NullMarked
package dev.apricotmill.core.length;

import org.jspecify.annotations.NullMarked;
