/** What a node knows of routes, services and backend servers, and the rules for one request. */
@NullMarked
package dev.apricotmill.core.relay;

import org.jspecify.annotations.NullMarked;
