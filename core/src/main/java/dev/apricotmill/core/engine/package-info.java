/** Client interface to model engines and the values it exchanges. */
@NullMarked
package dev.apricotmill.core.engine;

import org.jspecify.annotations.NullMarked;
