/** HTTP adapters of the ports to the platform, to model engines and to plain services. */
@NullMarked
package dev.apricotmill.adapters;

import org.jspecify.annotations.NullMarked;
