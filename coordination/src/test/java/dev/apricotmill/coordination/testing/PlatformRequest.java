package dev.apricotmill.coordination.testing;

import dev.apricotmill.coordination.identity.Zone;

/**
 * One call to {@link FakePlatform}, as passed to fault rules.
 *
 * @param process the calling process
 * @param zone the availability zone of the calling process
 * @param operation the kind of call
 * @param path the object's path, or the prefix of a list or watch; empty for the list of VMs
 */
public record PlatformRequest(
    String process, Zone zone, PlatformOperation operation, String path) {}
