package wickdrift.coordination.peers;

/**
 * Numbers the requests of this process to its peers so that no other process uses the same numbers.
 * Frames of the first layout hold no process, and the receiver of a reply has only the number to
 * tell whether it, or an earlier process of its controller, sent the request.
 *
 * <p>Builds that know the first layout only count their requests from one in each process. Their
 * numbers stay below {@link #FIRST_UNIQUE_ID}.
 */
public final class RequestIds {
  private static final long FIRST_UNIQUE_ID = 1L << 62;

  private long nextOffset;

  /**
   * Starts at a number that is derived from the incarnation.
   *
   * @param process the incarnation of this process, which no other process has
   */
  public RequestIds(String process) {
    nextOffset = hash(process);
  }

  /** Returns a number that this process has not returned before. */
  public long next() {
    return FIRST_UNIQUE_ID | nextOffset++ & FIRST_UNIQUE_ID - 1;
  }

  /** Whether only one process uses a number. */
  public static boolean isUnique(long requestId) {
    return requestId >= FIRST_UNIQUE_ID;
  }

  /** Spreads the incarnations over all numbers (FNV-1a with the finalizer of MurmurHash3). */
  private static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
    hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
    return hash ^ hash >>> 33;
  }
}
