/** Virtual time, a fake platform and a fake peer network for tests. */
@NullMarked
package dev.apricotmill.coordination.testing;

import org.jspecify.annotations.NullMarked;
