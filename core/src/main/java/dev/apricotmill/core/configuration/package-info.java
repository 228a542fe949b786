/** What operators create: customers, services, rules and planned stops, as immutable values. */
@NullMarked
package dev.apricotmill.core.configuration;

import org.jspecify.annotations.NullMarked;
