package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against one record that the state service rejects holding up all others of its transaction
 * for ever.
 */
class RejectionBackoffTest {
  private static final TransactionBuilder.Capacity FULL =
      new TransactionBuilder.Capacity(16, 16, 60_000, 3600);
  private static final Set<String> KEYS = Set.of("w/j/req-000001");
  private static final String KEY = "w/j/req-000001";

  private final RejectionBackoff backoff = new RejectionBackoff();

  @Test
  void transactionsAreFullWithoutRejections() {
    assertEquals(FULL, backoff.reduce(FULL, 0));
  }

  @Test
  void transactionsShrinkToASingleRecordAndRecover() {
    backoff.rejected(KEYS, 0);
    assertEquals(4, backoff.reduce(FULL, 1).maxChanges());
    assertTrue(backoff.mayWrite(KEY, 1));
    backoff.rejected(KEYS, 2);
    assertEquals(2, backoff.reduce(FULL, 3).maxChanges());
    assertEquals(900, backoff.reduce(FULL, 3).pageBytes());
    assertEquals(FULL, backoff.reduce(FULL, 60_000));
  }

  @Test
  void aRecordThatIsRejectedByItselfIsLeftOutForAWhile() {
    for (int i = 0; i < 3; i++) {
      backoff.rejected(KEYS, i);
    }
    assertFalse(backoff.mayWrite(KEY, 3));
    assertTrue(backoff.mayWrite("w/j/req-000002", 3));
    assertTrue(backoff.mayWrite(KEY, 120_000));
    assertEquals(3, backoff.rejections());
  }
}
