package wickdrift.coordination;

import java.util.Map;
import wickdrift.transport.Exchange;

/** What the handlers of users' requests share. */
final class UserRequests {
  /** How long a request waits for the tables to be caught up. */
  static final long BARRIER_MS = 1500;

  /** After that a transaction that was refused is tried again. */
  static final long RETRY_MS = 120;

  private UserRequests() {}

  /** Nothing can be said now; the user comes again. */
  static void later(Exchange x) {
    x.reply(503, Map.of("error", "try again"), 1);
  }
}
