package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * A member's partition record. Every placement transaction is conditional on this record's stamp,
 * so each rewrite of it makes all placements prepared before fail. It is rewritten for a new view,
 * a claim of a machine by the leader, a change of quota shares, and by the member itself after a
 * commit with unknown outcome.
 *
 * @param reserved machines reserved by the leader; the owner places nothing on them
 * @param quotaShares quota share by team where it differs from an even share of the team's limit.
 *     In encoding 1, the amount that this node may use. From encoding 2 on, the amount received
 *     beyond the even share, negative if given away, so that all nodes' shares sum to zero for any
 *     limit.
 * @param encoding version of the stored record, see {@link Encoding}
 * @param extra fields that this build does not know; they are kept when the record is rewritten
 */
public record Partition(
    long epoch,
    List<String> reserved,
    Map<String, QuotaShare> quotaShares,
    long stamp,
    int encoding,
    Map<String, Object> extra) {
  /** An amount of a team's quota. */
  public record QuotaShare(double cpus, double gpus) {
    /** Zero of both resources. */
    public static final QuotaShare NONE = new QuotaShare(0, 0);

    /** Returns the sum of both amounts. */
    public QuotaShare plus(QuotaShare other) {
      return new QuotaShare(cpus + other.cpus, gpus + other.gpus);
    }

    /** Returns the difference of both amounts. */
    public QuotaShare minus(QuotaShare other) {
      return new QuotaShare(cpus - other.cpus, gpus - other.gpus);
    }

    /** Returns the amount multiplied by a factor. */
    public QuotaShare times(double factor) {
      return new QuotaShare(cpus * factor, gpus * factor);
    }
  }

  /** A partition that is not stored yet, without reservations and quota shares. */
  public static Partition empty(long epoch, int encoding) {
    return new Partition(epoch, List.of(), Map.of(), 0, encoding, Map.of());
  }

  /** The key of a node's partition record. */
  public static String key(String node) {
    return "w/p/" + node;
  }

  /** Returns the same partition with other reservations. */
  public Partition withReserved(List<String> newReserved) {
    return new Partition(epoch, newReserved, quotaShares, stamp, encoding, extra);
  }

  /**
   * In a new epoch reservations are dropped; quota shares stay, since attempts count against them.
   */
  public Partition inEpoch(long next) {
    return new Partition(next, List.of(), quotaShares, stamp, encoding, extra);
  }

  /**
   * Returns the same partition in another encoding, with quota shares as that encoding holds them.
   */
  public Partition inEncoding(int newEncoding, Map<String, QuotaShare> newQuotaShares) {
    return new Partition(epoch, reserved, newQuotaShares, stamp, newEncoding, extra);
  }

  /** Returns the same partition with another quota share for a team. */
  public Partition withQuotaShare(String team, QuotaShare share) {
    Map<String, QuotaShare> newQuotaShares = new LinkedHashMap<>(quotaShares);
    newQuotaShares.put(team, share);
    return new Partition(epoch, reserved, newQuotaShares, stamp, encoding, extra);
  }

  /** The record as it is stored, in its encoding version. */
  public Object toStore() {
    Map<String, Object> record = new LinkedHashMap<>(extra);
    record.put("epoch", epoch);
    record.put("taken", new ArrayList<>(reserved));
    Map<String, Object> storedShares = new LinkedHashMap<>();
    quotaShares.forEach((t, v) -> storedShares.put(t, List.of(v.cpus, v.gpus)));
    record.put("shares", storedShares);
    return Encoding.wrap(encoding, record);
  }

  /** Reads a stored record, in any encoding version that this build reads. */
  public static Partition parse(Object value, long stamp) throws BadMessage {
    Document document = Encoding.decode(value, Encoding.NUMBERED);
    Map<String, QuotaShare> quotaShares = new LinkedHashMap<>();
    if (document.raw("shares") instanceof Map<?, ?> m) {
      for (Map.Entry<?, ?> e : m.entrySet()) {
        if (!(e.getValue() instanceof List<?> l)
            || l.size() != 2
            || !(l.get(0) instanceof Number cpus)
            || !(l.get(1) instanceof Number gpus)) {
          throw new BadMessage("quota share is not a pair of numbers");
        }
        quotaShares.put(
            (String) e.getKey(), new QuotaShare(cpus.doubleValue(), gpus.doubleValue()));
      }
    }
    return new Partition(
        document.count("epoch"),
        List.copyOf(document.texts("taken")),
        quotaShares,
        stamp,
        Encoding.versionOf(value),
        document.fieldsExcept("epoch", "taken", "shares"));
  }
}
