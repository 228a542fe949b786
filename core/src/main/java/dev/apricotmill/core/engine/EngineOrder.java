package dev.apricotmill.core.engine;

import com.google.common.collect.ImmutableSortedSet;

/**
 * A target state for an engine; giving the same order twice changes nothing.
 *
 * @param fencingNumber the version of the lease under which the order is given
 * @param model the model to be loaded
 * @param version the version of the model
 * @param adapters the adapters to be loaded
 * @param role the role
 */
public record EngineOrder(
    long fencingNumber,
    String model,
    String version,
    ImmutableSortedSet<String> adapters,
    EngineRole role) {}
