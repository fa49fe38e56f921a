package wickdrift.coordination;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machine types, as last read from the cloud. */
public final class Types {
  private final Map<String, TypeInfo> types = new LinkedHashMap<>();

  public boolean known() {
    return !types.isEmpty();
  }

  public TypeInfo find(String name) {
    return types.get(name);
  }

  public Collection<TypeInfo> all() {
    return types.values();
  }

  public void put(TypeInfo type) {
    types.put(type.name(), type);
  }
}
