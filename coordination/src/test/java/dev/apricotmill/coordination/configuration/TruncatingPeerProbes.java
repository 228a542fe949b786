package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A client of peers that returns heads unchanged and parts without their last byte. */
record TruncatingPeerProbes(ConfigurationFollower source) implements PeerProbes {

  @Override
  public CompletionStage<ProbeResult> probe(
      PeerAddress peer, ProbeMessage message, Duration timeout) {
    return CompletableFuture.completedFuture(new ProbeResult.NoAnswer());
  }

  @Override
  public CompletionStage<ProbeResult> probeThrough(
      PeerAddress peer, Member target, ProbeMessage message, Duration timeout) {
    return CompletableFuture.completedFuture(new ProbeResult.NoAnswer());
  }

  @Override
  public CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout) {
    FetchResult result = source.onFetch(partName);
    if (result instanceof FetchResult.Fetched fetched && !partName.startsWith("head/")) {
      byte[] value = fetched.value();
      return CompletableFuture.completedFuture(
          new FetchResult.Fetched(Arrays.copyOf(value, value.length - 1)));
    }
    return CompletableFuture.completedFuture(result);
  }
}
