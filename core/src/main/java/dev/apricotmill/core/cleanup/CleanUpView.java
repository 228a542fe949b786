package dev.apricotmill.core.cleanup;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.MembershipView;

/**
 * What a steward knows when it judges the memory on an engine.
 *
 * @param self its own current life
 * @param members what it believes of the daemons
 */
public record CleanUpView(Incarnation self, MembershipView members) {}
