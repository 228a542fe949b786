package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;

/** What happens to daemons that claim a few keys. */
enum LedgerStep {
  CLAIM_AT_FIRST {
    @Override
    void apply(LedgerSimulation run) {
      run.claim(0);
    }
  },
  CLAIM_AT_SECOND {
    @Override
    void apply(LedgerSimulation run) {
      run.claim(1);
    }
  },
  CLAIM_EVERYWHERE {
    @Override
    void apply(LedgerSimulation run) {
      run.claim(0);
      run.claim(1);
      run.claim(2);
    }
  },
  NEXT_KEY {
    @Override
    void apply(LedgerSimulation run) {
      run.nextKey();
    }
  },
  WITHDRAW {
    @Override
    void apply(LedgerSimulation run) {
      run.withdrawLastClaimed();
    }
  },
  COMPLETE {
    @Override
    void apply(LedgerSimulation run) {
      run.completeLastClaimed();
    }
  },
  PAUSE_FIRST {
    @Override
    void apply(LedgerSimulation run) {
      run.daemon(0).scheduler().pause();
    }
  },
  RESUME_FIRST {
    @Override
    void apply(LedgerSimulation run) {
      run.daemon(0).scheduler().resume();
    }
  },
  RESTART_SECOND {
    @Override
    void apply(LedgerSimulation run) {
      run.daemon(1).restart();
    }
  },
  LOSE_RESPONSES {
    @Override
    void apply(LedgerSimulation run) {
      run.failWrites(PlatformFault.ANSWER_LOST);
    }
  },
  DELAY_WRITES {
    @Override
    void apply(LedgerSimulation run) {
      run.failWrites(PlatformFault.LATE_WRITE);
    }
  },
  LOSE_REQUESTS {
    @Override
    void apply(LedgerSimulation run) {
      run.failWrites(PlatformFault.REQUEST_LOST);
    }
  },
  FAIL_READS {
    @Override
    void apply(LedgerSimulation run) {
      run.platform()
          .failNext(
              4, PlatformFault.UNREACHABLE, call -> call.operation() == PlatformOperation.GET);
    }
  },
  OUTAGE {
    @Override
    void apply(LedgerSimulation run) {
      run.platform().fail(PlatformFault.OUT_OF_SERVICE);
    }
  },
  HEAL {
    @Override
    void apply(LedgerSimulation run) {
      run.platform().heal();
    }
  };

  abstract void apply(LedgerSimulation run);
}
