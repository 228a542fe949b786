/** The fault matrix: every fault at every step, with every guarantee checked after each cell. */
@NullMarked
package dev.apricotmill.node.matrix;

import org.jspecify.annotations.NullMarked;
