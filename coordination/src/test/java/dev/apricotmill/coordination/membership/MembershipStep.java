package dev.apricotmill.coordination.membership;

/** A fault, or the end of faults, in a {@link MembershipCluster}. */
enum MembershipStep {
  WAIT {
    @Override
    void apply(MembershipCluster cluster) {}
  },
  PAUSE_FIRST {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.daemon(0).scheduler().pause();
    }
  },
  PAUSE_SECOND {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.daemon(1).scheduler().pause();
    }
  },
  RESUME_ALL {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.daemons().forEach(daemon -> daemon.scheduler().resume());
    }
  },
  PARTITION_FIRST {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.network().partitionProcess(cluster.daemon(0).id().name());
    }
  },
  DROP_REQUESTS_TO_SECOND {
    @Override
    void apply(MembershipCluster cluster) {
      String name = cluster.daemon(1).id().name();
      cluster.network().dropMatching(request -> request.to().equals(name));
    }
  },
  DROP_ALL {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.network().dropMatching(request -> true);
    }
  },
  KILL_LAST {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.daemon(cluster.daemons().size() - 1).kill();
    }
  },
  HEAL {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.network().heal();
    }
  };

  abstract void apply(MembershipCluster cluster);
}
