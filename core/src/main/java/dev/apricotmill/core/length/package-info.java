/** Prompt lengths: estimates in tokens and length classes. */
@NullMarked
package dev.apricotmill.core.length;

import org.jspecify.annotations.NullMarked;
