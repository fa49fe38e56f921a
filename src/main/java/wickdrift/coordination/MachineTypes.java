package wickdrift.coordination;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machine types by name, as last read from the cloud. */
public final class MachineTypes {
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Whether the machine types have been read at least once. */
  public boolean isLoaded() {
    return !types.isEmpty();
  }

  /** Returns the machine type with this name, or null if there is none. */
  public MachineType find(String name) {
    return types.get(name);
  }

  /** Returns all machine types. */
  public Collection<MachineType> all() {
    return types.values();
  }

  /** Adds a machine type, or replaces the one of the same name. */
  public void put(MachineType type) {
    types.put(type.name(), type);
  }
}
