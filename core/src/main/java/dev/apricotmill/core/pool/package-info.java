/** The decisions on where in a pool of model engines a prompt is read and its answer written. */
@NullMarked
package dev.apricotmill.core.pool;

import org.jspecify.annotations.NullMarked;
