package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Object2IntHashMap;

/** Maps names to dense numbers at the door. For small, lasting sets: zones, types, teams, nodes. */
public final class NameIndex {
  private static final int MISSING = -1;
  private final Object2IntHashMap<String> indices = new Object2IntHashMap<>(MISSING);
  private final List<String> names = new ArrayList<>();

  /** The dense index of a name, a new one if it is not known. */
  public int indexOf(String name) {
    int index = indices.getValue(name);
    if (index == MISSING) {
      index = names.size();
      indices.put(name, index);
      names.add(name);
    }
    return index;
  }

  public int findIndex(String name) {
    return indices.getValue(name);
  }

  public String name(int index) {
    return names.get(index);
  }

  public int size() {
    return names.size();
  }
}
