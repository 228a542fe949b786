package dev.apricotmill.core.engine;

import com.google.common.collect.ImmutableSortedSet;

/**
 * A target state for an engine. Orders are idempotent: sending the same order twice changes
 * nothing.
 *
 * @param fencingNumber fencing token: the version of the lease under which the order is sent
 * @param model the model to load
 * @param version the version of the model
 * @param adapters the adapters to load
 * @param role the role
 */
public record EngineOrder(
    long fencingNumber,
    String model,
    String version,
    ImmutableSortedSet<String> adapters,
    EngineRole role) {}
