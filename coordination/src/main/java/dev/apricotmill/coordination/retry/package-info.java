/** Retry delays and retry budgets. */
@NullMarked
package dev.apricotmill.coordination.retry;

import org.jspecify.annotations.NullMarked;
