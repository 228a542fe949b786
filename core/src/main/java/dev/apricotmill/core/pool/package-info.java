/** Placement of prompts and their responses on the engines of a pool. */
@NullMarked
package dev.apricotmill.core.pool;

import org.jspecify.annotations.NullMarked;
