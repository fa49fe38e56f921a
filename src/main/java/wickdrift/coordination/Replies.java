package wickdrift.coordination;

import java.util.Map;
import wickdrift.transport.Exchange;

/** Answers that several handlers of users' requests give. */
final class Replies {
  private Replies() {}

  /** Nothing can be said now; the user comes again. */
  static void later(Exchange x) {
    x.reply(503, Map.of("error", "try again"), 1);
  }
}
