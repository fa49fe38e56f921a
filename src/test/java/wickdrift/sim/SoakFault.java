package wickdrift.sim;

import java.util.List;
import java.util.Random;

/** The kinds of fault of a soak. Each strikes targets that are drawn at random from the seed. */
enum SoakFault {
  CONTROLLER_KILLED {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.killAndRestart(scene.anyNode(random), 100 + random.nextInt(800));
      return NOTHING_TO_END;
    }
  },
  ALL_CONTROLLERS_KILLED {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      for (String node : scene.world().nodes) {
        scene.killAndRestart(node, 100 + random.nextInt(3000));
      }
      return NOTHING_TO_END;
    }
  },
  LEADERS_KILLED_IN_SERIES {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      for (int i = 0; i < 3; i++) {
        scene.after(
            3500L * i, () -> scene.killAndRestart(scene.leader(), 100 + random.nextInt(900)));
      }
      return NOTHING_TO_END;
    }
  },
  CONTROLLER_PAUSED {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = random.nextBoolean() ? scene.leader() : scene.anyNode(random);
      scene.setPaused(node, true);
      return () -> scene.setPaused(node, false);
    }
  },
  WORKERS_HANG {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<SimWorker> some = scene.someWorkers(random);
      some.forEach(worker -> worker.setHung(true));
      return () -> some.forEach(worker -> worker.setHung(false));
    }
  },
  WORKERS_RESTARTED {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.someWorkers(random).forEach(SimWorker::restart);
      return NOTHING_TO_END;
    }
  },
  WORKER_DIES {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.someWorkers(random).get(0).terminate();
      return NOTHING_TO_END;
    }
  },
  WORKERS_CUT_OFF {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<SimWorker> some = scene.someWorkers(random);
      boolean hold = random.nextBoolean();
      SimNetwork net = scene.world().net;
      for (String node : scene.world().nodes) {
        some.forEach(worker -> net.cut(node, worker.address, hold));
      }
      return () -> {
        for (String node : scene.world().nodes) {
          some.forEach(worker -> net.heal(node, worker.address));
        }
      };
    }
  },
  WORKER_CONNECTIONS_RESET {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<String> some = someWorkerAddresses(scene, random);
      return scene.addRule(m -> some.contains(m.from()), 0.7, SimNetwork.RequestOutcome.RESET);
    }
  },
  WORKERS_UNREACHABLE_FOR_COMMANDS {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<String> some = someWorkerAddresses(scene, random);
      scene.world().net.inboundBlocked.addAll(some);
      return () -> scene.world().net.inboundBlocked.removeAll(some);
    }
  },
  WORKERS_CANNOT_REPORT {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<String> some = someWorkerAddresses(scene, random);
      scene.world().net.outboundBlocked.addAll(some);
      return () -> scene.world().net.outboundBlocked.removeAll(some);
    }
  },
  PEER_LINKS_STALLED_BOTH_WAYS {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = scene.anyNode(random);
      scene.setPeerLinks(node, true, true, TcpProxy.Mode.HOLD);
      return () -> scene.setPeerLinks(node, true, true, TcpProxy.Mode.FORWARD);
    }
  },
  PEER_LINKS_STALLED_ONE_WAY {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = scene.anyNode(random);
      boolean out = random.nextBoolean();
      scene.setPeerLinks(node, out, !out, TcpProxy.Mode.HOLD);
      return () -> scene.setPeerLinks(node, true, true, TcpProxy.Mode.FORWARD);
    }
  },
  PEER_CONNECTIONS_RESET {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = scene.anyNode(random);
      scene.setPeerLinks(node, true, true, TcpProxy.Mode.RESET);
      return () -> scene.setPeerLinks(node, true, true, TcpProxy.Mode.FORWARD);
    }
  },
  CONTROLLER_REFUSED_BY_STATE_SERVICE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = random.nextBoolean() ? scene.leader() : scene.anyNode(random);
      scene.world().state().setRefused(node, true);
      return () -> scene.world().state().setRefused(node, false);
    }
  },
  STATE_SERVICE_SLOW {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      SimStateService state = scene.world().state();
      long ms = 100 + random.nextInt(600);
      state.delayAllCommits(ms);
      scene.world().nodes.forEach(node -> state.delayWatchAnswers(node, ms));
      return () -> {
        state.delayAllCommits(0);
        scene.world().nodes.forEach(node -> state.delayWatchAnswers(node, 0));
      };
    }
  },
  STATE_SERVICE_UNAVAILABLE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.world().state().setOutage(true);
      return () -> scene.world().state().setOutage(false);
    }
  },
  TRANSACTIONS_LATE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      SimStateService state = scene.world().state();
      state.delayCommits(0.2, 1000 + random.nextInt(4000), random.nextLong());
      return () -> state.delayCommits(0, 0, 1);
    }
  },
  TRANSACTION_ANSWERS_LOST {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      return scene.addRule(
          m -> m.path().equals("/commit"), 0.25, SimNetwork.RequestOutcome.ANSWER_LOST);
    }
  },
  COMMANDS_LATE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      return scene.addRule(
          m -> m.path().equals(COMMANDS_PATH), 0.5, SimNetwork.RequestOutcome.LATE);
    }
  },
  COMMAND_ANSWERS_LOST {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      return scene.addRule(
          m -> m.path().equals(COMMANDS_PATH), 0.4, SimNetwork.RequestOutcome.ANSWER_LOST);
    }
  },
  COMMANDS_LOST_ON_SOME_LINKS {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<String> some = someWorkerAddresses(scene, random);
      return scene.addRule(
          m -> m.path().equals(COMMANDS_PATH) && some.contains(m.to()),
          0.8,
          SimNetwork.RequestOutcome.LOST);
    }
  },
  REPORT_ANSWERS_LOST {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      return scene.addRule(
          m -> m.path().equals(REPORT_PATH), 0.4, SimNetwork.RequestOutcome.ANSWER_LOST);
    }
  },
  /** Late commands and lost answers to reports on all links between controllers and workers. */
  BAD_NETWORK {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      Runnable commands =
          scene.addRule(m -> m.path().equals(COMMANDS_PATH), 0.6, SimNetwork.RequestOutcome.LATE);
      Runnable reports =
          scene.addRule(
              m -> m.path().equals(REPORT_PATH), 0.6, SimNetwork.RequestOutcome.ANSWER_RESET);
      return () -> {
        commands.run();
        reports.run();
      };
    }
  },
  REPORTS_COPIED_LATE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      SimNetwork net = scene.world().net;
      net.duplication =
          new SimNetwork.Duplication(
              REPORT_PATH, 0.3, 2 * scene.world().leaseMs, scene.world().nodes);
      return () -> net.duplication = null;
    }
  },
  JOBS_CANCELLED_AT_ONCE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.cancelRunning(6, random);
      return NOTHING_TO_END;
    }
  },
  JOBS_CANCELLED_AND_THEIR_MACHINES_HANG {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<SimWorker> some = scene.cancelRunning(4, random);
      some.forEach(worker -> worker.setHung(true));
      return () -> some.forEach(worker -> worker.setHung(false));
    }
  };

  private static final String COMMANDS_PATH = "/orders";
  private static final String REPORT_PATH = "/hello";
  private static final Runnable NOTHING_TO_END = () -> {};

  private static List<String> someWorkerAddresses(SoakScene scene, Random random) {
    return scene.someWorkers(random).stream().map(worker -> worker.address).toList();
  }

  /**
   * Starts the fault. Must be called on the event loop of the stand-ins.
   *
   * @return the action that ends the fault, which does nothing if the fault ends by itself
   */
  abstract Runnable begin(SoakScene scene, Random random);
}
