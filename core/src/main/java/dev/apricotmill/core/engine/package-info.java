/** The port to model engines. */
@NullMarked
package dev.apricotmill.core.engine;

import org.jspecify.annotations.NullMarked;
