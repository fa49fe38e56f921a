package wickdrift.lab;

/** An input file is invalid; the message names the file or field and the reason. */
public final class InvalidInputException extends Exception {
  /** Creates the exception; the command prints the message. */
  public InvalidInputException(String message) {
    super(message);
  }
}
