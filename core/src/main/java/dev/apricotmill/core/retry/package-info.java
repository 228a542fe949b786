/** The decision whether a request is tried again. */
@NullMarked
package dev.apricotmill.core.retry;

import org.jspecify.annotations.NullMarked;
