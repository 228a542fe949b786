package dev.apricotmill.coordination.membership;

import java.util.concurrent.CompletionStage;

/** The server side of {@link PeerProbes}; the transport calls it for requests from peers. */
public interface ProbeEndpoint {

  /** Handles a probe and returns the reply. */
  ProbeMessage onProbe(ProbeMessage message);

  /** Probes {@code target} on behalf of a peer. */
  CompletionStage<ProbeResult> onProbeThrough(Member target, ProbeMessage message);

  /** Returns a named part of the configuration; never {@link FetchResult.NoAnswer}. */
  FetchResult onFetch(String partName);
}
