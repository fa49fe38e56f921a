package wickdrift.sim;

import java.util.List;
import java.util.Random;

/** The kinds of fault of a soak: each begins somewhere, drawn from the seed, and can be ended. */
enum SoakFault {
  CONTROLLER_KILLED {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.killAndReturn(scene.anyNode(random), 100 + random.nextInt(800));
      return NOTHING;
    }
  },
  ALL_CONTROLLERS_KILLED {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      for (String node : scene.world().nodes) {
        scene.killAndReturn(node, 100 + random.nextInt(3000));
      }
      return NOTHING;
    }
  },
  LEADERS_KILLED_IN_SERIES {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      for (int i = 0; i < 3; i++) {
        scene.after(
            3500L * i, () -> scene.killAndReturn(scene.leader(), 100 + random.nextInt(900)));
      }
      return NOTHING;
    }
  },
  CONTROLLER_PAUSED {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = random.nextBoolean() ? scene.leader() : scene.anyNode(random);
      scene.pause(node, true);
      return () -> scene.pause(node, false);
    }
  },
  WORKERS_HANG {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<SimWorker> some = scene.someWorkers(random);
      some.forEach(worker -> worker.hang(true));
      return () -> some.forEach(worker -> worker.hang(false));
    }
  },
  WORKERS_BACK_AT_ONCE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.someWorkers(random).forEach(SimWorker::restart);
      return NOTHING;
    }
  },
  WORKER_DIES {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.someWorkers(random).get(0).die();
      return NOTHING;
    }
  },
  WORKERS_CUT_OFF {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<SimWorker> some = scene.someWorkers(random);
      boolean hold = random.nextBoolean();
      SimNet net = scene.world().net;
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
  WORKERS_RESET {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<String> some = addresses(scene, random);
      return scene.rule(m -> some.contains(m.from()), 0.7, SimNet.Fate.RESET);
    }
  },
  WORKERS_DEAF {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<String> some = addresses(scene, random);
      scene.world().net.deaf.addAll(some);
      return () -> scene.world().net.deaf.removeAll(some);
    }
  },
  WORKERS_MUTE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<String> some = addresses(scene, random);
      scene.world().net.mute.addAll(some);
      return () -> scene.world().net.mute.removeAll(some);
    }
  },
  PEERS_HELD_BOTH_WAYS {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = scene.anyNode(random);
      scene.peers(node, true, true, TcpProxy.Mode.HOLD);
      return () -> scene.peers(node, true, true, TcpProxy.Mode.FORWARD);
    }
  },
  PEERS_HELD_ONE_WAY {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = scene.anyNode(random);
      boolean out = random.nextBoolean();
      scene.peers(node, out, !out, TcpProxy.Mode.HOLD);
      return () -> scene.peers(node, true, true, TcpProxy.Mode.FORWARD);
    }
  },
  PEERS_RESET {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = scene.anyNode(random);
      scene.peers(node, true, true, TcpProxy.Mode.RESET);
      return () -> scene.peers(node, true, true, TcpProxy.Mode.FORWARD);
    }
  },
  ONE_REFUSED_BY_STATE_SERVICE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      String node = random.nextBoolean() ? scene.leader() : scene.anyNode(random);
      scene.world().state().refuse(node, true);
      return () -> scene.world().state().refuse(node, false);
    }
  },
  STATE_SERVICE_SLOW {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      SimState state = scene.world().state();
      long ms = 100 + random.nextInt(600);
      state.slowWrites(ms);
      scene.world().nodes.forEach(node -> state.slowReads(node, ms));
      return () -> {
        state.slowWrites(0);
        scene.world().nodes.forEach(node -> state.slowReads(node, 0));
      };
    }
  },
  STATE_SERVICE_AWAY {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.world().state().outage(true);
      return () -> scene.world().state().outage(false);
    }
  },
  TRANSACTIONS_LATE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      SimState state = scene.world().state();
      state.lateCommits(0.2, 1000 + random.nextInt(4000), random.nextLong());
      return () -> state.lateCommits(0, 0, 1);
    }
  },
  TRANSACTION_ANSWERS_LOST {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      return scene.rule(m -> m.path().equals("/commit"), 0.25, SimNet.Fate.ANSWER_LOST);
    }
  },
  COMMANDS_LATE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      return scene.rule(m -> m.path().equals(ORDERS), 0.5, SimNet.Fate.LATE);
    }
  },
  COMMAND_ANSWERS_LOST {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      return scene.rule(m -> m.path().equals(ORDERS), 0.4, SimNet.Fate.ANSWER_LOST);
    }
  },
  COMMANDS_LOST_ON_SOME_LINKS {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<String> some = addresses(scene, random);
      return scene.rule(
          m -> m.path().equals(ORDERS) && some.contains(m.to()), 0.8, SimNet.Fate.LOST);
    }
  },
  REPORT_ANSWERS_LOST {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      return scene.rule(m -> m.path().equals(REPORT), 0.4, SimNet.Fate.ANSWER_LOST);
    }
  },
  /** Several of these at once, on all links between controllers and workers. */
  BAD_NETWORK {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      Runnable commands = scene.rule(m -> m.path().equals(ORDERS), 0.6, SimNet.Fate.LATE);
      Runnable reports = scene.rule(m -> m.path().equals(REPORT), 0.6, SimNet.Fate.ANSWER_RESET);
      return () -> {
        commands.run();
        reports.run();
      };
    }
  },
  REPORTS_COPIED_LATE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      SimNet net = scene.world().net;
      net.copies = new SimNet.Copies(REPORT, 0.3, 2 * scene.world().leaseMs, scene.world().nodes);
      return () -> net.copies = null;
    }
  },
  JOBS_CANCELLED_AT_ONCE {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      scene.cancelRunning(6, random);
      return NOTHING;
    }
  },
  JOBS_CANCELLED_AND_THEIR_MACHINES_HANG {
    @Override
    Runnable begin(SoakScene scene, Random random) {
      List<SimWorker> some = scene.cancelRunning(4, random);
      some.forEach(worker -> worker.hang(true));
      return () -> some.forEach(worker -> worker.hang(false));
    }
  };

  private static final String ORDERS = "/orders";
  private static final String REPORT = "/hello";
  private static final Runnable NOTHING = () -> {};

  private static List<String> addresses(SoakScene scene, Random random) {
    return scene.someWorkers(random).stream().map(worker -> worker.address).toList();
  }

  /**
   * Begins the fault, on the loop of the stand-ins.
   *
   * @return what ends it; nothing for one that ends by itself
   */
  abstract Runnable begin(SoakScene scene, Random random);
}
