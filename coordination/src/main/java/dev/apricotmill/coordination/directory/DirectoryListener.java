package dev.apricotmill.coordination.directory;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.platform.WriteResult;

/** Is notified of changes to the entries of nodes. */
public interface DirectoryListener {

  /** Called after each change with all nodes that have an entry. */
  void onNodes(ImmutableList<Member> members);

  /** Called with the result of deleting the entry of a node that stopped answering probes. */
  void onRemoval(Member member, WriteResult result);
}
