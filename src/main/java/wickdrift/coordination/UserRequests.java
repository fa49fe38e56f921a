package wickdrift.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.transport.Exchange;

/** Constants and replies shared by the handlers of users' requests. */
final class UserRequests {
  /** Time that a request waits for the tables to catch up. */
  static final long BARRIER_TIMEOUT_MS = 1500;

  /** Delay before a refused transaction is tried again. */
  static final long RETRY_DELAY_MS = 120;

  /** The field of an error reply that tells the cause. */
  static final String ERROR_FIELD = "error";

  /** The field of an error reply that tells where in the request the cause is, in bytes. */
  static final String OFFSET_FIELD = "offset";

  private UserRequests() {}

  /** Replies 400 with the cause, and its position in the request if it has one. */
  static void replyMalformed(Exchange exchange, BadMessage cause) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put(ERROR_FIELD, cause.getMessage());
    if (cause.offset() != BadMessage.NO_OFFSET) {
      body.put(OFFSET_FIELD, cause.offset());
    }
    exchange.reply(400, body);
  }

  /** Replies 503 with a Retry-After of one second. */
  static void replyTryAgain(Exchange exchange) {
    exchange.reply(503, Map.of("error", "try again"), 1);
  }
}
