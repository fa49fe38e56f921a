package wickdrift.sim;

import java.util.function.UnaryOperator;
import wickdrift.coordination.Tuning;

/**
 * What a simulated world is made of.
 *
 * @param machines that are up at the start
 * @param capacity machines that can be had in all
 * @param controllers the zone of each, a letter
 * @param gpusMax the limit of the team vision
 * @param soundGpusMax the limit of the team sound; 0: none
 * @param txnOps changes a transaction may hold; 0: enough for all controllers, 8 at least
 * @param writeRps changes that the state service takes a second
 */
record SimSetup(
    long seed,
    int machines,
    int capacity,
    String controllers,
    double gpusMax,
    double soundGpusMax,
    UnaryOperator<Tuning> tuning,
    int txnOps,
    double writeRps) {
  SimSetup(long seed, int machines, int capacity) {
    this(seed, machines, capacity, "aaa", 60, 0, t -> t.withLog(2, 900), 0, SimState.WRITES);
  }

  SimSetup machines(int atStart) {
    return new SimSetup(
        seed, atStart, capacity, controllers, gpusMax, soundGpusMax, tuning, txnOps, writeRps);
  }

  SimSetup capacity(int most) {
    return new SimSetup(
        seed, machines, most, controllers, gpusMax, soundGpusMax, tuning, txnOps, writeRps);
  }

  SimSetup controllers(String zones) {
    return new SimSetup(
        seed, machines, capacity, zones, gpusMax, soundGpusMax, tuning, txnOps, writeRps);
  }

  SimSetup gpusMax(double gpus) {
    return new SimSetup(
        seed, machines, capacity, controllers, gpus, soundGpusMax, tuning, txnOps, writeRps);
  }

  SimSetup soundGpusMax(double gpus) {
    return new SimSetup(
        seed, machines, capacity, controllers, gpusMax, gpus, tuning, txnOps, writeRps);
  }

  /** With the settings that a controller has by itself, in place of small logs. */
  SimSetup defaultTuning() {
    return new SimSetup(
        seed,
        machines,
        capacity,
        controllers,
        gpusMax,
        soundGpusMax,
        UnaryOperator.identity(),
        txnOps,
        writeRps);
  }

  SimSetup txnOps(int ops) {
    return new SimSetup(
        seed, machines, capacity, controllers, gpusMax, soundGpusMax, tuning, ops, writeRps);
  }

  SimSetup writeRps(double rps) {
    return new SimSetup(
        seed, machines, capacity, controllers, gpusMax, soundGpusMax, tuning, txnOps, rps);
  }

  /** The limit of a team; 0: none. */
  double limitOf(String team) {
    return team.equals("sound") ? soundGpusMax : gpusMax;
  }
}
