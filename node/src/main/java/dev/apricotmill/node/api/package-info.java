/** The interface of a node to the daemon's servers: submissions, status and drain. */
@NullMarked
package dev.apricotmill.node.api;

import org.jspecify.annotations.NullMarked;
