/**
 * Coordination of many daemons through an external object store: leases, claims, membership,
 * directories and configuration.
 *
 * <p>The library does not depend on HTTP, on model engines or on a transport. It calls the
 * platform's object store through {@link dev.apricotmill.coordination.platform.Platform} and peers
 * through {@link dev.apricotmill.coordination.membership.PeerProbes}. It reads time only through
 * {@link dev.apricotmill.coordination.time.Timing}.
 */
@NullMarked
package dev.apricotmill.coordination;

import org.jspecify.annotations.NullMarked;
