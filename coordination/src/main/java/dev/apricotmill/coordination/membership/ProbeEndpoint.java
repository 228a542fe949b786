package dev.apricotmill.coordination.membership;

import java.util.concurrent.CompletionStage;

/** The receiving side of {@link PeerProbes}; a transport calls it for what peers send. */
public interface ProbeEndpoint {

  /** Answers a probe. */
  ProbeMessage onProbe(ProbeMessage message);

  /** Probes {@code target} on behalf of a peer. */
  CompletionStage<ProbeResult> onProbeThrough(Member target, ProbeMessage message);

  /** Gives a named part of the configuration; {@code Silent} is never returned. */
  FetchResult onFetch(String partName);
}
