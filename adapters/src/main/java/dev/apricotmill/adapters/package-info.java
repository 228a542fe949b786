/** HTTP implementations of the interfaces to the platform, model engines and plain services. */
@NullMarked
package dev.apricotmill.adapters;

import org.jspecify.annotations.NullMarked;
