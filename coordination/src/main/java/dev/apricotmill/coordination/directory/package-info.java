/** The nodes of a deployment, which register themselves in the platform's object store. */
@NullMarked
package dev.apricotmill.coordination.directory;

import org.jspecify.annotations.NullMarked;
