/** The nodes of a deployment, as they register themselves in the platform's store. */
@NullMarked
package dev.apricotmill.coordination.directory;

import org.jspecify.annotations.NullMarked;
