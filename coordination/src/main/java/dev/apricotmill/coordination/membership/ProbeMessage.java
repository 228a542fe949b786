package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;

/**
 * A probe or the reply to one.
 *
 * @param sender the state of the sender
 * @param updates states of other daemons in order of priority, bounded in number by the sender
 * @param configurationGeneration the generation of the sender's current configuration, zero if it
 *     has none
 * @param payloads small named values of other components, such as a zone's summary
 */
public record ProbeMessage(
    Member sender,
    ImmutableList<Member> updates,
    long configurationGeneration,
    ImmutableList<ProbePayload> payloads) {}
