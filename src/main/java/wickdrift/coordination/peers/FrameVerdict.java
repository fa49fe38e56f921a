package wickdrift.coordination.peers;

/** Whether a received frame may be acted on, with the reason. */
public enum FrameVerdict {
  /** The frame is meant for this process. */
  ACCEPTED,
  /** The frame does not name its processes although every running build does. */
  PROCESSES_NOT_NAMED,
  /** No controller has the number of the sender. */
  UNKNOWN_SENDER,
  /** An earlier process of this controller, or another process under its name, sent the frame. */
  SENT_UNDER_OWN_NAME,
  /** The frame is meant for another controller. */
  OTHER_RECEIVER,
  /** The frame is meant for an earlier process of this controller. */
  OTHER_PROCESS,
  /**
   * Another process of the sender may use the number of the request too, so the reply could reach
   * that process and be taken for the reply to its own request.
   */
  REQUEST_NOT_UNIQUE;

  /** Whether the frame may be acted on. */
  public boolean isAccepted() {
    return this == ACCEPTED;
  }
}
