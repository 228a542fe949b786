/** When and how often to try again. */
@NullMarked
package dev.apricotmill.coordination.retry;

import org.jspecify.annotations.NullMarked;
