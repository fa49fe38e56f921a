package wickdrift.protocol;

/**
 * Sender and receiver of a {@link PeerFrame}. A controller's name and number outlive its processes,
 * so a frame that arrives late may come from, or be meant for, a process that has ended. A header
 * therefore names the processes by their incarnation too.
 *
 * <p>The first layout of frames holds the number of the sending controller only. Its headers are
 * not {@linkplain #isIdentified identified}.
 *
 * @param from the number of the sending controller in the node registry
 * @param fromProcess the incarnation of the sending process; empty in the first layout
 * @param to the number of the receiving controller; {@link #ANY_NODE} in the first layout
 * @param toProcess the incarnation of the process that the frame is meant for; empty if it is meant
 *     for any process of the receiving controller
 */
public record FrameHeader(int from, String fromProcess, int to, String toProcess) {
  /** Stands for the receiver in a frame of the first layout. */
  public static final int ANY_NODE = -1;

  /** Returns the header of a frame of the first layout, which names the sending controller only. */
  public static FrameHeader firstLayout(int from) {
    return new FrameHeader(from, "", ANY_NODE, "");
  }

  /** Whether the header names the sending process and the receiver. */
  public boolean isIdentified() {
    return !fromProcess.isEmpty();
  }
}
