package wickdrift.protocol;

/** A message that is not what the protocol allows; the text names the field at fault. */
public final class BadMessage extends Exception {
  public BadMessage(String message) {
    super(message, null, false, false);
  }
}
