package wickdrift.coordination.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wickdrift.bookkeeping.StateServiceClient.Change;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.MessageCodec;

/** Creates identities of a process in a view of three controllers. */
public final class TestIdentities {
  private TestIdentities() {}

  /** Returns the identity of process {@code p1} of controller n1 at a level. */
  public static PeerIdentity atLevel(int level) throws BadMessage {
    Tables tables = new Tables(List.of("n0", "n1", "n2"), LevelRange.BUILD, () -> {});
    Map<String, String> members = Map.of("n0", "p0", "n1", "p1", "n2", "p2-3");
    View view = new View(7, members, "n0").withLevel(level);
    Object stored = MessageCodec.decode(MessageCodec.encode(view.toStore()));
    tables.load(new ArrayList<>(List.of(new Change(View.KEY, stored, 5))), 5);
    return new PeerIdentity("n1", "p1", tables);
  }
}
