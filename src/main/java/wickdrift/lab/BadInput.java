package wickdrift.lab;

/** An input file is invalid; the message names the file or field and the reason. */
public final class BadInput extends Exception {
  /** Creates the exception; the command prints the message. */
  public BadInput(String message) {
    super(message);
  }
}
