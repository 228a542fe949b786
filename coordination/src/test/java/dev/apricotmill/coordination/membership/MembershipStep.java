package dev.apricotmill.coordination.membership;

/** What happens to a cluster of daemons. */
enum MembershipStep {
  WAIT {
    @Override
    void apply(MembershipCluster cluster) {}
  },
  FREEZE_FIRST {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.daemon(0).scheduler().pause();
    }
  },
  FREEZE_SECOND {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.daemon(1).scheduler().pause();
    }
  },
  WAKE {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.daemons().forEach(daemon -> daemon.scheduler().resume());
    }
  },
  CUT_FIRST_OFF {
    @Override
    void apply(MembershipCluster cluster) {
      cluster.network().partitionProcess(cluster.daemon(0).id().name());
    }
  },
  CUT_ONE_WAY {
    @Override
    void apply(MembershipCluster cluster) {
      String name = cluster.daemon(1).id().name();
      cluster.network().dropMatching(request -> request.to().equals(name));
    }
  },
  CUT_ALL {
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
