/** What the sockets of a daemon call: submissions by callers, status and drains. */
@NullMarked
package dev.apricotmill.node.api;

import org.jspecify.annotations.NullMarked;
