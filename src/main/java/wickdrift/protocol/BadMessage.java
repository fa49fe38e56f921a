package wickdrift.protocol;

/**
 * Thrown for a message or stored value that violates the protocol; the text names the faulty field.
 * Carries no stack trace.
 */
public final class BadMessage extends Exception {
  /** Creates an exception whose text may be logged and sent back to the sender of the message. */
  public BadMessage(String message) {
    super(message, null, false, false);
  }
}
