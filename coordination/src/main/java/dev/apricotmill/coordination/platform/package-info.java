/** The client interface of the platform's object store, with its typed results. */
@NullMarked
package dev.apricotmill.coordination.platform;

import org.jspecify.annotations.NullMarked;
