package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;

/** What happens to daemons that claim a few keys. */
enum LedgerStep {
  CLAIM_AT_FIRST {
    @Override
    void apply(LedgerRun run) {
      run.claim(0);
    }
  },
  CLAIM_AT_SECOND {
    @Override
    void apply(LedgerRun run) {
      run.claim(1);
    }
  },
  CLAIM_EVERYWHERE {
    @Override
    void apply(LedgerRun run) {
      run.claim(0);
      run.claim(1);
      run.claim(2);
    }
  },
  NEXT_KEY {
    @Override
    void apply(LedgerRun run) {
      run.nextKey();
    }
  },
  WITHDRAW {
    @Override
    void apply(LedgerRun run) {
      run.withdrawLast();
    }
  },
  COMPLETE {
    @Override
    void apply(LedgerRun run) {
      run.completeLast();
    }
  },
  FREEZE_FIRST {
    @Override
    void apply(LedgerRun run) {
      run.daemon(0).scheduler().pause();
    }
  },
  WAKE_FIRST {
    @Override
    void apply(LedgerRun run) {
      run.daemon(0).scheduler().resume();
    }
  },
  RESTART_SECOND {
    @Override
    void apply(LedgerRun run) {
      run.daemon(1).restart();
    }
  },
  LOSE_ANSWERS {
    @Override
    void apply(LedgerRun run) {
      run.failWrites(PlatformFault.ANSWER_LOST);
    }
  },
  LATE_WRITES {
    @Override
    void apply(LedgerRun run) {
      run.failWrites(PlatformFault.DELAYED_WRITE);
    }
  },
  LOSE_REQUESTS {
    @Override
    void apply(LedgerRun run) {
      run.failWrites(PlatformFault.REQUEST_LOST);
    }
  },
  READS_FAIL {
    @Override
    void apply(LedgerRun run) {
      run.platform()
          .failNext(
              4, PlatformFault.UNREACHABLE, call -> call.operation() == PlatformOperation.GET);
    }
  },
  OUTAGE {
    @Override
    void apply(LedgerRun run) {
      run.platform().fail(PlatformFault.OUT_OF_SERVICE);
    }
  },
  HEAL {
    @Override
    void apply(LedgerRun run) {
      run.platform().heal();
    }
  };

  abstract void apply(LedgerRun run);
}
