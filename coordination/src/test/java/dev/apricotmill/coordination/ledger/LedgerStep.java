package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;

/** An operation or injected fault in a {@link LedgerSimulation}. */
enum LedgerStep {
  CLAIM_AT_FIRST {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.claim(0);
    }
  },
  CLAIM_AT_SECOND {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.claim(1);
    }
  },
  CLAIM_EVERYWHERE {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.claim(0);
      simulation.claim(1);
      simulation.claim(2);
    }
  },
  NEXT_KEY {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.nextKey();
    }
  },
  WITHDRAW {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.withdrawLastClaimed();
    }
  },
  COMPLETE {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.completeLastClaimed();
    }
  },
  PAUSE_FIRST {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.daemon(0).scheduler().pause();
    }
  },
  RESUME_FIRST {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.daemon(0).scheduler().resume();
    }
  },
  RESTART_SECOND {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.daemon(1).restart();
    }
  },
  LOSE_RESPONSES {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.failWrites(PlatformFault.ANSWER_LOST);
    }
  },
  DELAY_WRITES {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.failWrites(PlatformFault.DELAYED_WRITE);
    }
  },
  LOSE_REQUESTS {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.failWrites(PlatformFault.REQUEST_LOST);
    }
  },
  FAIL_READS {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation
          .platform()
          .failNext(
              4, PlatformFault.UNREACHABLE, call -> call.operation() == PlatformOperation.GET);
    }
  },
  OUTAGE {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.platform().fail(PlatformFault.OUT_OF_SERVICE);
    }
  },
  HEAL {
    @Override
    void apply(LedgerSimulation simulation) {
      simulation.platform().heal();
    }
  };

  abstract void apply(LedgerSimulation simulation);
}
