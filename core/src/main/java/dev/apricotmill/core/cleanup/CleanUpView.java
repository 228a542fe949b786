package dev.apricotmill.core.cleanup;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.MembershipView;

/**
 * The steward's view of the cluster, used to find orphaned memory on an engine.
 *
 * @param self this daemon's current incarnation
 * @param members the states of the daemons as this daemon sees them
 */
public record CleanUpView(Incarnation self, MembershipView members) {}
