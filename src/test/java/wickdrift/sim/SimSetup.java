package wickdrift.sim;

import java.util.function.UnaryOperator;
import wickdrift.coordination.Tuning;

/** The configuration of a simulated world. It must not be changed after the world is created. */
final class SimSetup {
  /** Few enough for most tests to go beyond 2^63. */
  private static final long REVISIONS_BEFORE_SIGN_BIT = 60;

  /** More than any test uses. */
  private static final long REVISIONS_BEFORE_LAST = 1L << 32;

  private static final long TICKS_BEFORE_SIGN_BIT = 10;

  private final long seed;
  private boolean plainMessages;
  private int machines;
  private int capacity;
  private String controllers = "aaa";
  private double gpusMax = 60;
  private double soundGpusMax;
  private double cancelS = 36;
  private double leaseS = 16;
  private double reportS = 2.5;
  private UnaryOperator<Tuning> tuning = t -> t.withLogSize(2, 900);
  private int txnOps;
  private double valueKb = 4;
  private double writeRps = SimStateService.DEFAULT_WRITES_PER_SECOND;

  /**
   * Creates a configuration with three controllers in one zone.
   *
   * @param machines the number of machines that are up at the start
   * @param capacity the number of machines that the cloud has in all
   */
  SimSetup(long seed, int machines, int capacity) {
    this.seed = seed;
    this.machines = machines;
    this.capacity = capacity;
  }

  /**
   * Returns the number from which the state service counts revisions and leases: small, just below
   * 2^63, or in the last part of what 64 bits hold.
   */
  long firstRevision() {
    if (plainMessages) {
      return 0;
    }
    return switch (Math.floorMod(seed, 3)) {
      case 0 -> 0;
      case 1 -> Long.MAX_VALUE - REVISIONS_BEFORE_SIGN_BIT;
      default -> -REVISIONS_BEFORE_LAST;
    };
  }

  /** Returns the number from which workers count their reports; most tests go beyond 2^63. */
  long firstTick() {
    return plainMessages ? 0 : Long.MAX_VALUE - TICKS_BEFORE_SIGN_BIT;
  }

  /** Returns how messages to controllers are rewritten. */
  MessageVariation variation() {
    return new MessageVariation(seed, plainMessages ? 0 : 1);
  }

  /** Has all stand-ins send what builds up to level 6 understand. */
  SimSetup plainMessages() {
    plainMessages = true;
    return this;
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

  /** Returns the zone of each controller, one letter each. */
  String controllers() {
    return controllers;
  }

  SimSetup controllers(String zones) {
    controllers = zones;
    return this;
  }

  /** Returns the GPU limit of the team {@code vision}. */
  double gpusMax() {
    return gpusMax;
  }

  SimSetup gpusMax(double gpus) {
    gpusMax = gpus;
    return this;
  }

  /** Returns the GPU limit of the team {@code sound}; 0: none. */
  double soundGpusMax() {
    return soundGpusMax;
  }

  SimSetup soundGpusMax(double gpus) {
    soundGpusMax = gpus;
    return this;
  }

  /** Returns the GPU limit of a team; 0: none. */
  double gpuLimitOf(String team) {
    return team.equals("sound") ? soundGpusMax : gpusMax;
  }

  /** Returns the time within which the tasks of a withdrawn job must end. */
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

  /** Sets the duration of a worker's lease, and the interval of its reports. */
  SimSetup withWorkerTiming(double leaseSeconds, double reportSeconds) {
    leaseS = leaseSeconds;
    reportS = reportSeconds;
    return this;
  }

  UnaryOperator<Tuning> tuning() {
    return tuning;
  }

  /** Uses the default tuning instead of one with small logs. */
  SimSetup defaultTuning() {
    tuning = UnaryOperator.identity();
    return this;
  }

  /** Returns the most changes in a transaction; 0: enough for all controllers, but at least 8. */
  int txnOps() {
    return txnOps;
  }

  SimSetup txnOps(int ops) {
    txnOps = ops;
    return this;
  }

  /** Returns the size limit of a value. */
  double valueKb() {
    return valueKb;
  }

  SimSetup valueKb(double kilobytes) {
    valueKb = kilobytes;
    return this;
  }

  /** Returns the number of changes per second that the state service accepts. */
  double writeRps() {
    return writeRps;
  }

  SimSetup writeRps(double perSecond) {
    writeRps = perSecond;
    return this;
  }
}
