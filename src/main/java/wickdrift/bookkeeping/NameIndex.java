package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Object2IntHashMap;

/** Maps names to dense indices, for small sets that only grow: zones, types, teams, nodes. */
public final class NameIndex {
  private static final int MISSING = -1;
  private final Object2IntHashMap<String> indices = new Object2IntHashMap<>(MISSING);
  private final List<String> names = new ArrayList<>();

  /** The index of a name, which is added if it is not known. */
  public int indexOf(String name) {
    int index = indices.getValue(name);
    if (index == MISSING) {
      index = names.size();
      indices.put(name, index);
      names.add(name);
    }
    return index;
  }

  /** The index of a name, or -1 if it is not known. */
  public int findIndex(String name) {
    return indices.getValue(name);
  }

  /** The name with an index. */
  public String name(int index) {
    return names.get(index);
  }

  /** The number of names. */
  public int size() {
    return names.size();
  }
}
