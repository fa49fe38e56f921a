package wickdrift.operator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import picocli.CommandLine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.Transaction;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.bookkeeping.level.LevelUpgrade;
import wickdrift.bookkeeping.level.NodeRecord;
import wickdrift.bookkeeping.level.OperatorOverrides;
import wickdrift.settings.Settings;

/** {@code wickdrift level}: the level of stored state that is in force, and what it waits for. */
@CommandLine.Command(
    name = "level",
    description = "Show and steer the level of stored state.",
    subcommands = {
      LevelCommand.Show.class,
      LevelCommand.Hold.class,
      LevelCommand.Release.class,
      LevelCommand.Without.class,
      CommandLine.HelpCommand.class
    })
public final class LevelCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getErr());
  }

  /** What the commands read; barred if this build does not understand the stored state. */
  private static Tables tables(Store store, Settings settings) throws Store.Away {
    Records r = Records.read(store);
    Tables t = new Tables(settings.nodeNames(), LevelRange.BUILD, () -> {});
    t.load(r.changes(), r.rev());
    return t;
  }

  private static TreeSet<String> controllers(Tables t, Settings settings) {
    TreeSet<String> names = new TreeSet<>(settings.nodeNames());
    names.addAll(t.registry().names());
    names.addAll(t.memberLevels().keySet());
    t.registry().nodeRecords().forEach(a -> names.addAll(a.peers()));
    return names;
  }

  /** {@code level show}. */
  @CommandLine.Command(name = "show", description = "The level in force, and why it does not rise.")
  static final class Show extends Tool {
    @Override
    int run(Store store, Settings settings) throws Store.Away {
      Tables t = tables(store, settings);
      if (t.blockedReason() != null) {
        return fail(NO, t.blockedReason());
      }
      LevelUpgrade rise =
          LevelUpgrade.evaluate(
              t.level(), LevelRange.BUILD, t.memberLevels(), settings.nodeNames(), t.registry());
      List<Map<String, Object>> list = new ArrayList<>();
      for (String name : controllers(t, settings)) {
        NodeRecord a = t.registry().nodeRecord(name);
        boolean live = t.memberLevels().containsKey(name);
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", name);
        m.put("number", t.registry().numberOf(name));
        m.put("there", live);
        m.put("member", t.view() != null && t.view().members().containsKey(name));
        m.put(
            "levels",
            live ? t.memberLevels().get(name).toString() : a == null ? "" : a.levels().toString());
        m.put("waitedFor", !t.registry().overrides().ignoredNodes().contains(name));
        list.add(m);
      }
      Map<String, Object> all = new LinkedHashMap<>();
      all.put("level", t.level());
      all.put("build", LevelRange.BUILD.toString());
      all.put("epoch", t.view() == null ? 0 : t.view().epoch());
      all.put("gates", LevelUpgrade.closedGateReasons(t.level(), t.registry().overrides()));
      all.put("waitsFor", rise.blockers());
      all.put("oldForms", t.keysInOldEncoding().size());
      all.put("converted", t.level() > 1 && t.registry().convertedLevel() >= t.level());
      all.put("controllers", list);
      if (json) {
        print(all);
        return OK;
      }
      out().println("level " + t.level() + " is in force; this build speaks " + LevelRange.BUILD);
      LevelUpgrade.closedGateReasons(t.level(), t.registry().overrides())
          .forEach((g, why) -> out().println("gate " + g + ": " + (why.isEmpty() ? "open" : why)));
      for (String why : rise.blockers()) {
        out().println("level " + (t.level() + 1) + " waits: " + why);
      }
      if (t.level() > 1) {
        out()
            .println(
                t.keysInOldEncoding().size()
                    + " records of an older form are left"
                    + (t.registry().convertedLevel() >= t.level() ? "; all was converted" : ""));
      }
      for (Map<String, Object> m : list) {
        out()
            .printf(
                "%-24s number %-4s %-8s levels %-8s%s%n",
                m.get("name"),
                m.get("number"),
                (boolean) m.get("member") ? "member" : (boolean) m.get("there") ? "there" : "down",
                m.get("levels").equals("") ? "unknown" : m.get("levels"),
                (boolean) m.get("waitedFor") ? "" : "  not waited for");
      }
      out().flush();
      return OK;
    }
  }

  /** Those that change what the operators have said. */
  abstract static class Saying extends Tool {
    /** What is to be said now, or null with a reason given by {@link #fail}. */
    abstract OperatorOverrides next(Tables t, Settings settings);

    private int code;

    OperatorOverrides refuse(int exit, String why) {
      code = fail(exit, why);
      return null;
    }

    @Override
    int run(Store store, Settings settings) throws Store.Away {
      Tables t = tables(store, settings);
      if (t.blockedReason() != null) {
        return fail(NO, t.blockedReason());
      }
      OperatorOverrides next = next(t, settings);
      if (next == null) {
        return code;
      }
      long stamp = t.registry().overrides().stamp();
      // On condition of the view too: a level that rises meanwhile makes this come too late.
      Transaction txn =
          new Transaction()
              .requireStamp(OperatorOverrides.KEY, stamp)
              .requireStamp(View.KEY, t.viewStamp())
              .write(OperatorOverrides.KEY, next.toStore());
      if (!Records.commit(store, txn)) {
        return fail(NO, "the state has just changed; nothing was done, try again");
      }
      if (json) {
        print(Map.of("held", next.heldGates(), "without", next.ignoredNodes()));
      } else {
        out().println("held: " + next.heldGates() + ", not waited for: " + next.ignoredNodes());
      }
      return OK;
    }
  }

  private static String gates() {
    return String.join(", ", Arrays.stream(Gate.values()).map(Gate::label).toList());
  }

  /** {@code level hold}. */
  @CommandLine.Command(name = "hold", description = "Keep a gate closed, and the level below it.")
  static final class Hold extends Saying {
    @CommandLine.Parameters(paramLabel = "GATE")
    private String gate;

    @Override
    OperatorOverrides next(Tables t, Settings settings) {
      Gate g = Gate.byLabel(gate);
      if (g == null) {
        return refuse(BAD_INPUT, "no gate " + gate + "; there are: " + gates());
      }
      if (t.isOpen(g)) {
        return refuse(NO, "gate " + gate + " is open, and can't be closed again");
      }
      return t.registry().overrides().withGateHeld(gate, true);
    }
  }

  /** {@code level release}. */
  @CommandLine.Command(name = "release", description = "Let a gate open when all are ready.")
  static final class Release extends Saying {
    @CommandLine.Parameters(paramLabel = "GATE")
    private String gate;

    @Override
    OperatorOverrides next(Tables t, Settings settings) {
      return t.registry().overrides().heldGates().contains(gate)
          ? t.registry().overrides().withGateHeld(gate, false)
          : refuse(
              BAD_INPUT,
              "gate " + gate + " is not held back; held: " + t.registry().overrides().heldGates());
    }
  }

  /** {@code level without}. */
  @CommandLine.Command(
      name = "without",
      description = "Do not wait for a controller that is down and will not come back as it was.")
  static final class Without extends Saying {
    @CommandLine.Parameters(paramLabel = "CONTROLLER")
    private String name;

    @CommandLine.Option(names = "--undo", description = "Wait for it again.")
    private boolean undo;

    @Override
    OperatorOverrides next(Tables t, Settings settings) {
      OperatorOverrides word = t.registry().overrides();
      if (undo) {
        return word.ignoredNodes().contains(name)
            ? word.withNodeIgnored(name, false)
            : refuse(BAD_INPUT, name + " is waited for; not so: " + word.ignoredNodes());
      }
      if (!controllers(t, settings).contains(name)) {
        return refuse(
            BAD_INPUT, "no controller " + name + "; there are: " + controllers(t, settings));
      }
      if (t.memberLevels().containsKey(name)) {
        return refuse(NO, name + " is there: end it first");
      }
      return word.withNodeIgnored(name, true);
    }
  }
}
