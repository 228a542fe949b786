/** Detection of orphaned memory on engines. */
@NullMarked
package dev.apricotmill.core.cleanup;

import org.jspecify.annotations.NullMarked;
