/** Client interface to plain services. */
@NullMarked
package dev.apricotmill.core.service;

import org.jspecify.annotations.NullMarked;
