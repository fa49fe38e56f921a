package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * A member's part. Each transaction that places is conditional on this record's stamp, so whoever
 * rewrites it (a new view, the leader taking a machine, a change of quota shares, or the member
 * itself after a commit whose outcome it does not know) makes every placement that was prepared
 * before fail.
 *
 * @param reserved machines that the leader has marked; the owner places nothing on them
 * @param encoding of the stored record, see {@link Encoding}
 * @param quotaShares by team, where it is not an even part of the limit that this node may use: in
 *     form 1 what it may use; since form 2 what it was given beyond its even part, below 0 what it
 *     gave away, so that all together sum to nothing whatever the limit is
 * @param extra fields that this build does not know; they survive a rewriting
 */
public record Partition(
    long epoch,
    List<String> reserved,
    Map<String, QuotaShare> quotaShares,
    long stamp,
    int encoding,
    Map<String, Object> extra) {
  /** An amount of a team's limit. */
  public record QuotaShare(double cpus, double gpus) {
    public static final QuotaShare NONE = new QuotaShare(0, 0);

    public QuotaShare plus(QuotaShare other) {
      return new QuotaShare(cpus + other.cpus, gpus + other.gpus);
    }

    public QuotaShare minus(QuotaShare other) {
      return new QuotaShare(cpus - other.cpus, gpus - other.gpus);
    }

    public QuotaShare times(double factor) {
      return new QuotaShare(cpus * factor, gpus * factor);
    }
  }

  public static Partition empty(long epoch, int encoding) {
    return new Partition(epoch, List.of(), Map.of(), 0, encoding, Map.of());
  }

  public static String key(String node) {
    return "w/p/" + node;
  }

  public Partition withReserved(List<String> newReserved) {
    return new Partition(epoch, newReserved, quotaShares, stamp, encoding, extra);
  }

  /** In a new view nothing is taken; the shares stay, for attempts count against them. */
  public Partition inEpoch(long next) {
    return new Partition(next, List.of(), quotaShares, stamp, encoding, extra);
  }

  /** In another form, with the shares as that form tells them. */
  public Partition inEncoding(int newEncoding, Map<String, QuotaShare> newQuotaShares) {
    return new Partition(epoch, reserved, newQuotaShares, stamp, newEncoding, extra);
  }

  public Partition withQuotaShare(String team, QuotaShare share) {
    Map<String, QuotaShare> newQuotaShares = new LinkedHashMap<>(quotaShares);
    newQuotaShares.put(team, share);
    return new Partition(epoch, reserved, newQuotaShares, stamp, encoding, extra);
  }

  /** The record as it is stored, in its form. */
  public Object toStore() {
    Map<String, Object> record = new LinkedHashMap<>(extra);
    record.put("epoch", epoch);
    record.put("taken", new ArrayList<>(reserved));
    Map<String, Object> storedShares = new LinkedHashMap<>();
    quotaShares.forEach((t, v) -> storedShares.put(t, List.of(v.cpus, v.gpus)));
    record.put("shares", storedShares);
    return Encoding.wrap(encoding, record);
  }

  /** Reads a stored record, in whatever form. */
  public static Partition parse(Object value, long stamp) throws BadMessage {
    Document document = Encoding.decode(value, Encoding.NUMBERED);
    Map<String, QuotaShare> quotaShares = new LinkedHashMap<>();
    if (document.raw("shares") instanceof Map<?, ?> m) {
      for (Map.Entry<?, ?> e : m.entrySet()) {
        if (!(e.getValue() instanceof List<?> l)
            || l.size() != 2
            || !(l.get(0) instanceof Number cpus)
            || !(l.get(1) instanceof Number gpus)) {
          throw new BadMessage("a share is not two amounts");
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
        document.without("epoch", "taken", "shares"));
  }
}
