/**
 * Parts with which many processes coordinate through a store that they do not run themselves.
 *
 * <p>The library knows nothing of HTTP, of model engines or of a transport. Everything outside is
 * reached through the ports {@link dev.apricotmill.coordination.platform.Platform} and {@link
 * dev.apricotmill.coordination.membership.PeerProbes}, and time through {@link
 * dev.apricotmill.coordination.time.Timing}.
 */
@NullMarked
package dev.apricotmill.coordination;

import org.jspecify.annotations.NullMarked;
