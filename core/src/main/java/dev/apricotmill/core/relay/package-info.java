/** Routes, services and backend servers, and the rules for relaying one request. */
@NullMarked
package dev.apricotmill.core.relay;

import org.jspecify.annotations.NullMarked;
