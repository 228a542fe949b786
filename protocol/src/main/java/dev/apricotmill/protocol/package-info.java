/**
 * The inner protocol, which daemons use among themselves: size-limited protobuf frames over TCP,
 * and the streams that are multiplexed on a connection. Covers messages and transport only; what
 * requests mean is decided by the callers.
 */
@NullMarked
package dev.apricotmill.protocol;

import org.jspecify.annotations.NullMarked;
