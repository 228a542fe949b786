/**
 * The inner protocol: bounded protobuf frames over TCP, and the streams between daemons that a
 * connection carries. It knows messages and transport only.
 */
@NullMarked
package dev.apricotmill.protocol;

import org.jspecify.annotations.NullMarked;
