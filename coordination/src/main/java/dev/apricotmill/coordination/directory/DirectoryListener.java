package dev.apricotmill.coordination.directory;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.Member;

/** Learns of the nodes that have an entry. */
public interface DirectoryListener {

  /** Takes all nodes with an entry, after each change. */
  void onNodes(ImmutableList<Member> members);

  /** Learns that this node removes the entry of another one, which has long been silent. */
  void onRemoved(Member member);
}
