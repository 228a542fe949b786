/** A stand-in of a model engine: its model on injected time, an in-process port and a server. */
@NullMarked
package dev.apricotmill.testhelpers.engine;

import org.jspecify.annotations.NullMarked;
