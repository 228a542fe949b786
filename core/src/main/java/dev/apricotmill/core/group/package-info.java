/**
 * Groups of engines that prefill one prompt together because it exceeds the memory of one engine.
 */
@NullMarked
package dev.apricotmill.core.group;

import org.jspecify.annotations.NullMarked;
