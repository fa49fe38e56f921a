package wickdrift.coordination;

import java.util.Map;
import wickdrift.transport.Exchange;

/** Constants and replies shared by the handlers of users' requests. */
final class UserRequests {
  /** Time that a request waits for the tables to catch up. */
  static final long BARRIER_TIMEOUT_MS = 1500;

  /** Delay before a refused transaction is tried again. */
  static final long RETRY_DELAY_MS = 120;

  private UserRequests() {}

  /** Replies 503 with a Retry-After of one second. */
  static void replyTryAgain(Exchange exchange) {
    exchange.reply(503, Map.of("error", "try again"), 1);
  }
}
