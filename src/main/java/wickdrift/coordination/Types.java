package wickdrift.coordination;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machine types by name, as last read from the cloud. */
public final class Types {
  private final Map<String, TypeInfo> types = new LinkedHashMap<>();

  /** Whether the machine types have been read at least once. */
  public boolean known() {
    return !types.isEmpty();
  }

  /** Returns the machine type with this name, or null if there is none. */
  public TypeInfo find(String name) {
    return types.get(name);
  }

  /** Returns all machine types. */
  public Collection<TypeInfo> all() {
    return types.values();
  }

  /** Adds a machine type, or replaces the one of the same name. */
  public void put(TypeInfo type) {
    types.put(type.name(), type);
  }
}
