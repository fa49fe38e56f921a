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

/**
 * {@code wickdrift level}: shows the level of stored state that is in force and what blocks the
 * next one, and changes the operator overrides.
 */
@CommandLine.Command(
    name = "level",
    description = "Show and steer the level of stored state.",
    subcommands = {
      LevelCommand.ShowCommand.class,
      LevelCommand.HoldCommand.class,
      LevelCommand.ReleaseCommand.class,
      LevelCommand.WithoutCommand.class,
      CommandLine.HelpCommand.class
    })
public final class LevelCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getErr());
  }

  /**
   * Loads the tables from the stored state. {@link Tables#blockedReason} is set if this build does
   * not understand the stored state.
   */
  private static Tables loadTables(StateServiceCaller store, Settings settings)
      throws StateServiceCaller.UnavailableException {
    StoredRecords records = StoredRecords.read(store);
    Tables tables = new Tables(settings.nodeNames(), LevelRange.BUILD, () -> {});
    tables.load(records.toChanges(), records.revision());
    return tables;
  }

  /** The controllers that the settings, the node registry, the members or any peer list name. */
  private static TreeSet<String> knownControllers(Tables tables, Settings settings) {
    TreeSet<String> names = new TreeSet<>(settings.nodeNames());
    names.addAll(tables.registry().names());
    names.addAll(tables.memberLevels().keySet());
    tables.registry().nodeRecords().forEach(nodeRecord -> names.addAll(nodeRecord.peers()));
    return names;
  }

  /** {@code level show}: prints the level, the gates, the blockers and the controllers. */
  @CommandLine.Command(name = "show", description = "The level in force, and why it does not rise.")
  static final class ShowCommand extends OperatorCommand {
    @Override
    int run(StateServiceCaller store, Settings settings)
        throws StateServiceCaller.UnavailableException {
      Tables tables = loadTables(store, settings);
      if (tables.blockedReason() != null) {
        return fail(EXIT_FINDINGS_OR_REFUSED, tables.blockedReason());
      }
      LevelUpgrade upgrade =
          LevelUpgrade.evaluate(
              tables.level(),
              LevelRange.BUILD,
              tables.memberLevels(),
              settings.nodeNames(),
              tables.registry());
      List<Map<String, Object>> controllerList = new ArrayList<>();
      for (String name : knownControllers(tables, settings)) {
        NodeRecord nodeRecord = tables.registry().nodeRecord(name);
        boolean isLive = tables.memberLevels().containsKey(name);
        Map<String, Object> controller = new LinkedHashMap<>();
        controller.put("name", name);
        controller.put("number", tables.registry().numberOf(name));
        controller.put("there", isLive);
        controller.put(
            "member", tables.view() != null && tables.view().members().containsKey(name));
        controller.put(
            "levels",
            isLive
                ? tables.memberLevels().get(name).toString()
                : nodeRecord == null ? "" : nodeRecord.levels().toString());
        controller.put("waitedFor", !tables.registry().overrides().ignoredNodes().contains(name));
        controllerList.add(controller);
      }
      Map<String, Object> output = new LinkedHashMap<>();
      output.put("level", tables.level());
      output.put("build", LevelRange.BUILD.toString());
      output.put("epoch", tables.view() == null ? 0 : tables.view().epoch());
      output.put(
          "gates", LevelUpgrade.closedGateReasons(tables.level(), tables.registry().overrides()));
      output.put("waitsFor", upgrade.blockers());
      output.put("oldForms", tables.keysInOldEncoding().size());
      output.put(
          "converted", tables.level() > 1 && tables.registry().convertedLevel() >= tables.level());
      output.put("controllers", controllerList);
      if (jsonOutput) {
        printJson(output);
        return EXIT_OK;
      }
      out()
          .println(
              "level " + tables.level() + " is in force; this build speaks " + LevelRange.BUILD);
      LevelUpgrade.closedGateReasons(tables.level(), tables.registry().overrides())
          .forEach(
              (gate, reason) ->
                  out().println("gate " + gate + ": " + (reason.isEmpty() ? "open" : reason)));
      for (String reason : upgrade.blockers()) {
        out().println("level " + (tables.level() + 1) + " waits: " + reason);
      }
      if (tables.level() > 1) {
        out()
            .println(
                tables.keysInOldEncoding().size()
                    + " records of an older form are left"
                    + (tables.registry().convertedLevel() >= tables.level()
                        ? "; all was converted"
                        : ""));
      }
      for (Map<String, Object> controller : controllerList) {
        out()
            .printf(
                "%-24s number %-4s %-8s levels %-8s%s%n",
                controller.get("name"),
                controller.get("number"),
                (boolean) controller.get("member")
                    ? "member"
                    : (boolean) controller.get("there") ? "there" : "down",
                controller.get("levels").equals("") ? "unknown" : controller.get("levels"),
                (boolean) controller.get("waitedFor") ? "" : "  not waited for");
      }
      out().flush();
      return EXIT_OK;
    }
  }

  /** A command that changes the stored operator overrides. */
  abstract static class OverrideCommand extends OperatorCommand {
    /** Returns the overrides to store, or null after {@link #refuse} has reported the reason. */
    abstract OperatorOverrides nextOverrides(Tables tables, Settings settings);

    private int exitCode;

    /** Reports the reason and keeps the exit code; returns null for {@link #nextOverrides}. */
    OperatorOverrides refuse(int code, String message) {
      exitCode = fail(code, message);
      return null;
    }

    @Override
    int run(StateServiceCaller store, Settings settings)
        throws StateServiceCaller.UnavailableException {
      Tables tables = loadTables(store, settings);
      if (tables.blockedReason() != null) {
        return fail(EXIT_FINDINGS_OR_REFUSED, tables.blockedReason());
      }
      OperatorOverrides overrides = nextOverrides(tables, settings);
      if (overrides == null) {
        return exitCode;
      }
      long overridesStamp = tables.registry().overrides().stamp();
      // The transaction also requires an unchanged view, because the decision was made for the
      // level in force: if the level is upgraded in the meantime, the override comes too late.
      Transaction transaction =
          new Transaction()
              .requireStamp(OperatorOverrides.KEY, overridesStamp)
              .requireStamp(View.KEY, tables.viewStamp())
              .write(OperatorOverrides.KEY, overrides.toStore());
      if (!StoredRecords.commit(store, transaction)) {
        return fail(
            EXIT_FINDINGS_OR_REFUSED, "the state has just changed; nothing was done, try again");
      }
      if (jsonOutput) {
        printJson(Map.of("held", overrides.heldGates(), "without", overrides.ignoredNodes()));
      } else {
        out()
            .println(
                "held: " + overrides.heldGates() + ", not waited for: " + overrides.ignoredNodes());
      }
      return EXIT_OK;
    }
  }

  private static String gateLabels() {
    return String.join(", ", Arrays.stream(Gate.values()).map(Gate::label).toList());
  }

  /** {@code level hold}: holds a gate closed, which also blocks the upgrade to its level. */
  @CommandLine.Command(name = "hold", description = "Keep a gate closed, and the level below it.")
  static final class HoldCommand extends OverrideCommand {
    @CommandLine.Parameters(paramLabel = "GATE")
    private String gateLabel;

    @Override
    OperatorOverrides nextOverrides(Tables tables, Settings settings) {
      Gate gate = Gate.byLabel(gateLabel);
      if (gate == null) {
        return refuse(EXIT_BAD_INPUT, "no gate " + gateLabel + "; there are: " + gateLabels());
      }
      if (tables.isOpen(gate)) {
        return refuse(
            EXIT_FINDINGS_OR_REFUSED, "gate " + gateLabel + " is open, and can't be closed again");
      }
      return tables.registry().overrides().withGateHeld(gateLabel, true);
    }
  }

  /** {@code level release}: no longer holds a gate closed. */
  @CommandLine.Command(name = "release", description = "Let a gate open when all are ready.")
  static final class ReleaseCommand extends OverrideCommand {
    @CommandLine.Parameters(paramLabel = "GATE")
    private String gateLabel;

    @Override
    OperatorOverrides nextOverrides(Tables tables, Settings settings) {
      return tables.registry().overrides().heldGates().contains(gateLabel)
          ? tables.registry().overrides().withGateHeld(gateLabel, false)
          : refuse(
              EXIT_BAD_INPUT,
              "gate "
                  + gateLabel
                  + " is not held back; held: "
                  + tables.registry().overrides().heldGates());
    }
  }

  /** {@code level without}: no longer waits for a controller that is down, or waits again. */
  @CommandLine.Command(
      name = "without",
      description = "Do not wait for a controller that is down and will not come back as it was.")
  static final class WithoutCommand extends OverrideCommand {
    @CommandLine.Parameters(paramLabel = "CONTROLLER")
    private String name;

    @CommandLine.Option(names = "--undo", description = "Wait for it again.")
    private boolean undo;

    @Override
    OperatorOverrides nextOverrides(Tables tables, Settings settings) {
      OperatorOverrides overrides = tables.registry().overrides();
      if (undo) {
        return overrides.ignoredNodes().contains(name)
            ? overrides.withNodeIgnored(name, false)
            : refuse(EXIT_BAD_INPUT, name + " is waited for; not so: " + overrides.ignoredNodes());
      }
      if (!knownControllers(tables, settings).contains(name)) {
        return refuse(
            EXIT_BAD_INPUT,
            "no controller " + name + "; there are: " + knownControllers(tables, settings));
      }
      if (tables.memberLevels().containsKey(name)) {
        return refuse(EXIT_FINDINGS_OR_REFUSED, name + " is there: end it first");
      }
      return overrides.withNodeIgnored(name, true);
    }
  }
}
