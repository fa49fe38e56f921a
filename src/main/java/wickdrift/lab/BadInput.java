package wickdrift.lab;

/** A file can't be used; the message names the field and the reason. */
public final class BadInput extends Exception {
  public BadInput(String message) {
    super(message);
  }
}
