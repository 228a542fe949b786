/**
 * Groups of engines that read one prompt together because it is larger than one engine's memory.
 */
@NullMarked
package dev.apricotmill.core.group;

import org.jspecify.annotations.NullMarked;
