package wickdrift.protocol;

/**
 * Thrown for a message or stored value that violates the protocol; the text names the faulty field.
 * Carries no stack trace.
 */
public final class BadMessage extends Exception {
  private static final long serialVersionUID = 1L;

  /** The offset of an error that has no single place in the message. */
  public static final int NO_OFFSET = -1;

  private final int offset;

  /** Creates an exception whose text may be logged and sent back to the sender of the message. */
  public BadMessage(String message) {
    this(message, NO_OFFSET);
  }

  /**
   * Creates an exception whose text may be logged and sent back to the sender of the message.
   *
   * @param offset the position in the message, in bytes
   */
  public BadMessage(String message, int offset) {
    super(message, null, false, false);
    this.offset = offset;
  }

  /** Returns the position in the message, in bytes, or {@link #NO_OFFSET}. */
  public int offset() {
    return offset;
  }
}
