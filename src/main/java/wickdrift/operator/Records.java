package wickdrift.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Transaction;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Caller.Response;

/**
 * All records as of one revision.
 *
 * @param rev the state service's revision
 * @param all by key; the value as it is stored, and the revision of its last change
 */
public record Records(long rev, TreeMap<String, Item> all) {
  /** What is stored under one key. */
  public record Item(Object value, long stamp) {}

  private static final int PAGE = 400;
  private static final int TRIES = 5;

  /**
   * Reads everything page by page, each of another revision, then all changes since the first: so
   * what is returned was there at once.
   *
   * @throws Store.Away if the state service does not answer, or changes faster than it can be read
   */
  public static Records read(Store store) throws Store.Away {
    for (int i = 0; i < TRIES; i++) {
      Records r = tryRead(store);
      if (r != null) {
        return r;
      }
    }
    throw new Store.Away("the stored state changes faster than it can be read");
  }

  private static Records tryRead(Store store) throws Store.Away {
    TreeMap<String, Item> all = new TreeMap<>();
    long rev = Long.MAX_VALUE;
    String from = null;
    try {
      boolean more = true;
      while (more) {
        String path = "/store?prefix=" + StateServiceClient.PREFIX + "&most=" + PAGE;
        Document d = answer(store.call("GET", from == null ? path : path + "&from=" + from, null));
        rev = Math.min(rev, d.count("ledgerRev"));
        for (Document e : d.documents("entries")) {
          from = e.text("key");
          all.put(from, new Item(e.raw("v"), e.count("stamp")));
        }
        more = d.flag("truncated", false);
      }
      String path = "/follow?prefix=" + StateServiceClient.PREFIX + "&from=" + rev + "&holdMs=0";
      Response a = store.call("GET", path, null);
      if (a.status() == 410) {
        return null;
      }
      Document d = answer(a);
      List<Document> news = new ArrayList<>(d.documents("news"));
      List<Long> stamps = new ArrayList<>();
      for (Document n : news) {
        stamps.add(n.count("stamp"));
      }
      List<Integer> order = new ArrayList<>();
      for (int i = 0; i < news.size(); i++) {
        order.add(i);
      }
      order.sort(Comparator.comparing(stamps::get));
      for (int i : order) {
        Document n = news.get(i);
        String written = n.textOrNull("write");
        if (written == null) {
          all.remove(n.text("delete"));
        } else {
          all.put(written, new Item(n.raw("v"), stamps.get(i)));
        }
      }
      return new Records(d.count("ledgerRev"), all);
    } catch (BadMessage e) {
      throw new Store.Away("the state service answers what can't be read: " + e.getMessage());
    }
  }

  private static Document answer(Response a) throws Store.Away, BadMessage {
    if (a.status() != 200) {
      throw new Store.Away("the state service answers " + a.status());
    }
    return Document.parse(a.body());
  }

  /** The same as the controllers' tables take them. */
  public List<StateServiceClient.Change> changes() {
    List<StateServiceClient.Change> out = new ArrayList<>();
    all.forEach((k, i) -> out.add(new StateServiceClient.Change(k, i.value, i.stamp)));
    return out;
  }

  /** One transaction; true if its conditions held. */
  static boolean commit(Store store, Transaction txn) throws Store.Away {
    Response a = store.call("POST", "/commit", MessageCodec.encode(txn.toRequest()));
    if (a.status() != 200 && a.status() != 409) {
      throw new Store.Away("the state service refuses a change with " + a.status());
    }
    return a.status() == 200;
  }
}
