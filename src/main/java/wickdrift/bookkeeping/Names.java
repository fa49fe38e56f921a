package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Object2IntHashMap;

/** Maps names to dense numbers at the door. For small, lasting sets: zones, types, teams, nodes. */
public final class Names {
  private static final int MISSING = -1;
  private final Object2IntHashMap<String> numbers = new Object2IntHashMap<>(MISSING);
  private final List<String> names = new ArrayList<>();

  /** The dense index of a name, a new one if it is not known. */
  public int of(String name) {
    int n = numbers.getValue(name);
    if (n == MISSING) {
      n = names.size();
      numbers.put(name, n);
      names.add(name);
    }
    return n;
  }

  public int find(String name) {
    return numbers.getValue(name);
  }

  public String name(int number) {
    return names.get(number);
  }

  public int size() {
    return names.size();
  }
}
