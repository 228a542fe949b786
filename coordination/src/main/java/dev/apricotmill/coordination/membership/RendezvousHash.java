package dev.apricotmill.coordination.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Rendezvous hashing. Processes with the same members choose the same owners, and the loss of a
 * member moves only the keys that it owned.
 */
public final class RendezvousHash {

  private static final HashFunction HASH = Hashing.murmur3_128();

  private RendezvousHash() {}

  /** Returns the member that owns {@code key}, empty if there are none. */
  public static Optional<Member> owner(Collection<Member> members, String key) {
    return weighted(members, key).max(Comparator.naturalOrder()).map(Weighted::member);
  }

  /** Returns the members in the order in which they would own {@code key}, the owner first. */
  public static Stream<Member> ranked(Collection<Member> members, String key) {
    return weighted(members, key).sorted(Comparator.reverseOrder()).map(Weighted::member);
  }

  /**
   * Returns the members in the order in which they would own {@code key} if members of more
   * capacity go first; members of equal capacity are in the order of {@link #ranked}.
   */
  public static Stream<Member> rankedByCapacity(Collection<Member> members, String key) {
    return ranked(members, key).sorted(Comparator.comparingInt(Member::capacity).reversed());
  }

  /** Computes each weight once, since the hash costs far more than a comparison. */
  private static Stream<Weighted> weighted(Collection<Member> members, String key) {
    return members.stream().map(member -> new Weighted(weight(member, key), member));
  }

  private record Weighted(long weight, Member member) implements Comparable<Weighted> {

    @Override
    public int compareTo(Weighted other) {
      int byWeight = Long.compare(weight, other.weight);
      return byWeight != 0
          ? byWeight
          : member.incarnation().daemon().compareTo(other.member.incarnation().daemon());
    }
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
