package wickdrift.sim;

import java.util.function.UnaryOperator;
import wickdrift.coordination.Tuning;

/** What a simulated world is made of: set before it is made, and not changed after. */
final class SimSetup {
  private final long seed;
  private int machines;
  private int capacity;
  private String controllers = "aaa";
  private double gpusMax = 60;
  private double soundGpusMax;
  private double cancelS = 36;
  private double leaseS = 16;
  private double reportS = 2.5;
  private UnaryOperator<Tuning> tuning = t -> t.withLog(2, 900);
  private int txnOps;
  private double writeRps = SimState.DEFAULT_WRITES_PER_SECOND;

  /**
   * @param machines that are up at the start
   * @param capacity machines that can be had in all
   */
  SimSetup(long seed, int machines, int capacity) {
    this.seed = seed;
    this.machines = machines;
    this.capacity = capacity;
  }

  long seed() {
    return seed;
  }

  int machines() {
    return machines;
  }

  SimSetup machines(int atStart) {
    machines = atStart;
    return this;
  }

  int capacity() {
    return capacity;
  }

  SimSetup capacity(int maxMachines) {
    capacity = maxMachines;
    return this;
  }

  /** The zone of each controller, a letter. */
  String controllers() {
    return controllers;
  }

  SimSetup controllers(String zones) {
    controllers = zones;
    return this;
  }

  /** The limit of the team vision. */
  double gpusMax() {
    return gpusMax;
  }

  SimSetup gpusMax(double gpus) {
    gpusMax = gpus;
    return this;
  }

  /** The limit of the team sound; 0: none. */
  double soundGpusMax() {
    return soundGpusMax;
  }

  SimSetup soundGpusMax(double gpus) {
    soundGpusMax = gpus;
    return this;
  }

  /** The limit of a team; 0: none. */
  double limitOf(String team) {
    return team.equals("sound") ? soundGpusMax : gpusMax;
  }

  /** Within how long a cancelled task must be gone. */
  double cancelS() {
    return cancelS;
  }

  SimSetup cancelS(double seconds) {
    cancelS = seconds;
    return this;
  }

  double leaseS() {
    return leaseS;
  }

  double reportS() {
    return reportS;
  }

  /** How long a worker's lease lasts, and how often it reports. */
  SimSetup workers(double leaseSeconds, double reportSeconds) {
    leaseS = leaseSeconds;
    reportS = reportSeconds;
    return this;
  }

  UnaryOperator<Tuning> tuning() {
    return tuning;
  }

  /** With the settings that a controller has by itself, in place of small logs. */
  SimSetup defaultTuning() {
    tuning = UnaryOperator.identity();
    return this;
  }

  /** Changes a transaction may hold; 0: enough for all controllers, 8 at least. */
  int txnOps() {
    return txnOps;
  }

  SimSetup txnOps(int ops) {
    txnOps = ops;
    return this;
  }

  /** Changes that the state service takes a second. */
  double writeRps() {
    return writeRps;
  }

  SimSetup writeRps(double perSecond) {
    writeRps = perSecond;
    return this;
  }
}
