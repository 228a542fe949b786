/** Virtual time and a fake platform for tests. */
@NullMarked
package dev.apricotmill.coordination.testing;

import org.jspecify.annotations.NullMarked;
