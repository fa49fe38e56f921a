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
import wickdrift.protocol.Unsigned;
import wickdrift.transport.Caller.Response;

/**
 * All records of the stored state at one revision.
 *
 * @param revision revision of the state service
 * @param byKey the stored values with their stamps, by key
 */
public record StoredRecords(long revision, TreeMap<String, StoredValue> byKey) {
  /**
   * The value stored under one key.
   *
   * @param value the decoded value
   * @param stamp revision of its last change
   */
  public record StoredValue(Object value, long stamp) {}

  private static final int ENTRIES_PER_PAGE = 400;
  private static final int MAX_READ_ATTEMPTS = 5;

  /**
   * Reads all records. The pages may be of different revisions, so all changes since the oldest of
   * these are applied afterwards: the result is the state at one revision.
   *
   * @throws StateServiceCaller.UnavailableException if the state service is unavailable, or the
   *     stored state changes faster than it can be read
   */
  public static StoredRecords read(StateServiceCaller store)
      throws StateServiceCaller.UnavailableException {
    for (int attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
      StoredRecords records = tryRead(store);
      if (records != null) {
        return records;
      }
    }
    throw new StateServiceCaller.UnavailableException(
        "the stored state changes faster than it can be read");
  }

  /** Returns null if the changes since the first page are no longer available (status 410). */
  private static StoredRecords tryRead(StateServiceCaller store)
      throws StateServiceCaller.UnavailableException {
    TreeMap<String, StoredValue> byKey = new TreeMap<>();
    long firstRevision = Unsigned.MAX_VALUE;
    String lastKey = null;
    try {
      boolean hasMorePages = true;
      while (hasMorePages) {
        String path = "/store?prefix=" + StateServiceClient.PREFIX + "&most=" + ENTRIES_PER_PAGE;
        Document body =
            parseBody(store.call("GET", lastKey == null ? path : path + "&from=" + lastKey, null));
        firstRevision = Unsigned.min(firstRevision, body.unsigned("ledgerRev"));
        for (Document e : body.documents("entries")) {
          lastKey = e.text("key");
          byKey.put(lastKey, new StoredValue(e.value("v"), e.unsigned("stamp")));
        }
        hasMorePages = body.flag("truncated", false);
      }
      String path =
          "/follow?prefix="
              + StateServiceClient.PREFIX
              + "&from="
              + Unsigned.toText(firstRevision)
              + "&holdMs=0";
      Response response = store.call("GET", path, null);
      if (response.status() == 410) {
        return null;
      }
      Document body = parseBody(response);
      List<Document> changes = new ArrayList<>(body.documents("news"));
      List<Long> stamps = new ArrayList<>();
      for (Document change : changes) {
        stamps.add(change.unsigned("stamp"));
      }
      List<Integer> order = new ArrayList<>();
      for (int i = 0; i < changes.size(); i++) {
        order.add(i);
      }
      // In the order of their stamps, so that the last change of each key is the one that remains.
      order.sort(Comparator.comparing(stamps::get, Unsigned::compare));
      for (int i : order) {
        Document change = changes.get(i);
        String writtenKey = change.textOrNull("write");
        if (writtenKey == null) {
          byKey.remove(change.text("delete"));
        } else {
          byKey.put(writtenKey, new StoredValue(change.value("v"), stamps.get(i)));
        }
      }
      return new StoredRecords(body.unsigned("ledgerRev"), byKey);
    } catch (BadMessage e) {
      throw new StateServiceCaller.UnavailableException(
          "the state service answers what can't be read: " + e.getMessage());
    }
  }

  private static Document parseBody(Response response)
      throws StateServiceCaller.UnavailableException, BadMessage {
    if (response.status() != 200) {
      throw new StateServiceCaller.UnavailableException(
          "the state service answers " + response.status());
    }
    return Document.parse(response.body());
  }

  /** Converts the records to changes, as {@link wickdrift.bookkeeping.Tables#load} takes them. */
  public List<StateServiceClient.Change> toChanges() {
    List<StateServiceClient.Change> changes = new ArrayList<>();
    byKey.forEach(
        (key, stored) ->
            changes.add(new StateServiceClient.Change(key, stored.value, stored.stamp)));
    return changes;
  }

  /** Commits a transaction; returns whether its conditions were met, so that it was applied. */
  static boolean commit(StateServiceCaller store, Transaction transaction)
      throws StateServiceCaller.UnavailableException {
    Response response = store.call("POST", "/commit", MessageCodec.encode(transaction.toRequest()));
    if (response.status() != 200 && response.status() != 409) {
      throw new StateServiceCaller.UnavailableException(
          "the state service refuses a change with " + response.status());
    }
    return response.status() == 200;
  }
}
