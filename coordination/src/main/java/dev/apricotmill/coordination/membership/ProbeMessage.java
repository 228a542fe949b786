package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;

/**
 * What a probe and its answer carry: the sender, some news of others, and the generation of the
 * sender's configuration.
 *
 * @param sender the sender as it sees itself
 * @param updates knowledge of other daemons, newest first, bounded in number by the sender
 * @param configurationGeneration the generation that is in force at the sender, zero if none
 * @param payloads small values of other parts, such as a zone's summary, by name
 */
public record ProbeMessage(
    Member sender,
    ImmutableList<Member> updates,
    long configurationGeneration,
    ImmutableList<ProbePayload> payloads) {}
