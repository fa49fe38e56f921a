package wickdrift.coordination;

import java.util.Map;
import wickdrift.transport.Exchange;

/** What the handlers of users' requests share. */
final class UserRequests {
  /** How long a request waits for the tables to be caught up. */
  static final long BARRIER_TIMEOUT_MS = 1500;

  /** After that a transaction that was refused is tried again. */
  static final long RETRY_DELAY_MS = 120;

  private UserRequests() {}

  /** Nothing can be said now; the user comes again. */
  static void replyTryAgain(Exchange exchange) {
    exchange.reply(503, Map.of("error", "try again"), 1);
  }
}
