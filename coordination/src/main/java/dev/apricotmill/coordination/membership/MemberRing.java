package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import dev.apricotmill.coordination.identity.DaemonId;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.stream.Stream;

/** A ring of daemons, ordered by a hash of their names. */
public final class MemberRing {

  private static final Comparator<Member> ORDER =
      Comparator.<Member>comparingLong(member -> position(member.incarnation().daemon()))
          .thenComparing(member -> member.incarnation().daemon());

  private MemberRing() {}

  /** Returns the other daemons in ring order, beginning with the successor of {@code self}. */
  public static ImmutableList<Member> successors(Stream<Member> members, Member self) {
    ImmutableList<Member> ring =
        members
            .filter(member -> !sameDaemon(member, self))
            .sorted(ORDER)
            .collect(ImmutableList.toImmutableList());
    int start = 0;
    while (start < ring.size() && ORDER.compare(ring.get(start), self) < 0) {
      start++;
    }
    return rotated(ring, start);
  }

  static boolean sameDaemon(Member one, Member other) {
    return one.incarnation().daemon().equals(other.incarnation().daemon());
  }

  static ImmutableList<Member> rotated(ImmutableList<Member> members, long offset) {
    if (members.isEmpty()) {
      return members;
    }
    int split = (int) (offset % members.size());
    return ImmutableList.<Member>builder()
        .addAll(members.subList(split, members.size()))
        .addAll(members.subList(0, split))
        .build();
  }

  private static long position(DaemonId daemon) {
    return Hashing.murmur3_128().hashString(daemon.name(), StandardCharsets.UTF_8).asLong();
  }
}
