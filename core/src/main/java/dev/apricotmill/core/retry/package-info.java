/** The decision whether a request is retried. */
@NullMarked
package dev.apricotmill.core.retry;

import org.jspecify.annotations.NullMarked;
