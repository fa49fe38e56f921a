package wickdrift.coordination;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.transport.Exchange;

/**
 * Counts the requests of users that are answered with an error, by cause, and logs each cause once.
 * What a user has sent appears in the log as a valid job id or as hexadecimal digits only.
 */
public final class RefusedRequests {
  private static final Logger LOG = LoggerFactory.getLogger(RefusedRequests.class);

  /** The first status that stands for an error. */
  private static final int FIRST_ERROR_STATUS = 400;

  /** Bounds the causes that are told apart; further ones are counted together and not logged. */
  private static final int MAX_CAUSES = 100;

  /** Bounds the part of a body that is logged, before and after the position of the error. */
  private static final int EXCERPT_BYTES = 64;

  private static final String UNKNOWN_JOB = "unknown";
  private static final String OTHER_CAUSES = "other";

  /** What a user asked for. */
  public enum Kind {
    SUBMISSION,
    CANCELLATION,
    POLL,
    OTHER
  }

  /**
   * Why requests are refused.
   *
   * @param reason a text of this program, which names the field if there is one
   */
  public record Cause(Kind kind, int status, String reason) {}

  private final Consumer<Cause> onNewCause;
  private final Map<Cause, Long> countByCause = new HashMap<>();

  /**
   * Creates an instance that has counted nothing.
   *
   * @param onNewCause called when a cause is counted for the first time
   */
  public RefusedRequests(Consumer<Cause> onNewCause) {
    this.onNewCause = onNewCause;
  }

  /** Returns how many requests were refused for a cause. */
  public long count(Cause cause) {
    return countByCause.getOrDefault(cause, 0L);
  }

  /** Returns an exchange that replies as the given one does, and counts an error reply here. */
  public Exchange observe(Exchange exchange, Kind kind, String jobId) {
    return new ObservedExchange(exchange, kind, jobId);
  }

  private void record(Exchange exchange, Kind kind, String jobId, int status, Object reply) {
    String reason = OTHER_CAUSES;
    int offset = BadMessage.NO_OFFSET;
    if (reply instanceof Map<?, ?> fields) {
      reason = String.valueOf(fields.get(UserRequests.ERROR_FIELD));
      offset =
          fields.get(UserRequests.OFFSET_FIELD) instanceof Integer position ? position : offset;
    }
    Cause cause = new Cause(kind, status, reason);
    if (countByCause.size() >= MAX_CAUSES && !countByCause.containsKey(cause)) {
      cause = new Cause(Kind.OTHER, status, OTHER_CAUSES);
    }
    if (countByCause.merge(cause, 1L, Long::sum) == 1) {
      onNewCause.accept(cause);
      LOG.info(
          "request refused: kind={}, status={}, cause={}, job={}, offset={}, bytes={}",
          kind,
          status,
          reason,
          jobId == null ? submittedId(exchange.body()) : jobId,
          offset,
          exchange.body().length);
    }
    if (LOG.isDebugEnabled()) {
      LOG.debug("body of the refused request: excerpt={}", excerpt(exchange.body(), offset));
    }
  }

  /** Returns the job id in a submission that may be malformed. */
  private static String submittedId(byte[] body) {
    try {
      String id = Document.parse(body).textOrNull("ref");
      return id != null && JobSpec.validId(id) ? id : UNKNOWN_JOB;
    } catch (BadMessage unreadable) {
      return UNKNOWN_JOB;
    }
  }

  private static String excerpt(byte[] body, int offset) {
    int from = Math.min(body.length, Math.max(0, offset - EXCERPT_BYTES));
    int to = Math.min(body.length, Math.max(0, offset) + EXCERPT_BYTES);
    return HexFormat.of().formatHex(Arrays.copyOfRange(body, from, to));
  }

  /** Passes the reply on, and records one that is an error. */
  private final class ObservedExchange implements Exchange {
    private final Exchange exchange;
    private final Kind kind;
    private final String jobId;

    ObservedExchange(Exchange exchange, Kind kind, String jobId) {
      this.exchange = exchange;
      this.kind = kind;
      this.jobId = jobId;
    }

    @Override
    public String method() {
      return exchange.method();
    }

    @Override
    public String path() {
      return exchange.path();
    }

    @Override
    public byte[] body() {
      return exchange.body();
    }

    @Override
    public void reply(int status, Object body, int retryAfterS) {
      if (status >= FIRST_ERROR_STATUS) {
        record(exchange, kind, jobId, status, body);
      }
      exchange.reply(status, body, retryAfterS);
    }
  }
}
