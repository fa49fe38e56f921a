package wickdrift.sim;

import java.util.List;

/** How one soak ended. */
record SoakResult(long seed, Outcome outcome, List<String> reasons, String figures) {
  /** Whether the rules held. */
  enum Outcome {
    PASSED,
    FAILED,
    /** It did not do its work, or times can't be judged: no pass. */
    NOT_JUDGED
  }

  /** One line. */
  String summaryLine() {
    String why = reasons.isEmpty() ? "" : ": " + reasons.get(0);
    return "seed " + seed + " " + outcome + " (" + figures + ")" + why;
  }
}
