package dev.apricotmill.coordination.directory;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.platform.WriteResult;

/** Learns of the nodes that have an entry. */
public interface DirectoryListener {

  /** Takes all nodes with an entry, after each change. */
  void onNodes(ImmutableList<Member> members);

  /** Learns what became of the removal of a node's entry that has long been silent. */
  void onRemoval(Member member, WriteResult result);
}
