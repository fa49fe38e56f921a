package wickdrift.sim;

import java.util.List;

/** The result of one soak. */
record SoakResult(long seed, Outcome outcome, List<String> reasons, String figures) {
  /** Whether the invariants held. */
  enum Outcome {
    PASSED,
    FAILED,
    /**
     * The run is inconclusive: it had too little load or faults, or the harness stalled or failed.
     */
    NOT_JUDGED
  }

  /** Returns the result in one line, with the first reason if it did not pass. */
  String summaryLine() {
    String why = reasons.isEmpty() ? "" : ": " + reasons.get(0);
    return "seed " + seed + " " + outcome + " (" + figures + ")" + why;
  }
}
