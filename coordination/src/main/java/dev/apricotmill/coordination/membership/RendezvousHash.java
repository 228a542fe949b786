package dev.apricotmill.coordination.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Chooses owners so that every process with the same members chooses alike, and so that the loss of
 * a member moves only what it owned.
 */
public final class RendezvousHash {

  private static final HashFunction HASH = Hashing.murmur3_128();

  private RendezvousHash() {}

  /** Returns the member that owns {@code key}, empty if there are none. */
  public static Optional<Member> owner(Collection<Member> members, String key) {
    return members.stream().max(byWeight(key));
  }

  /** Returns the members in the order in which they would own {@code key}. */
  public static Stream<Member> ranked(Collection<Member> members, String key) {
    return members.stream().sorted(byWeight(key).reversed());
  }

  private static Comparator<Member> byWeight(String key) {
    return Comparator.<Member>comparingLong(member -> weight(member, key))
        .thenComparing(member -> member.incarnation().daemon());
  }

  private static long weight(Member member, String key) {
    return HASH.newHasher()
        .putString(member.incarnation().daemon().name(), StandardCharsets.UTF_8)
        .putChar('\n')
        .putString(key, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
