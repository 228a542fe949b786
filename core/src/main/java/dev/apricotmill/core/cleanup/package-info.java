/** Which memory on an engine belongs to nobody any more and is to be freed. */
@NullMarked
package dev.apricotmill.core.cleanup;

import org.jspecify.annotations.NullMarked;
