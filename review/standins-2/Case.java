import java.nio.file.Path;

/** What the tests have in common: exit codes, and an end after 118 seconds at the latest. */
abstract class Case {
  Rig rig;
  Rig.Record record;
  final boolean trouble = Rig.trouble();

  /** Returns whether the rule held. */
  abstract boolean play() throws Exception;

  void say(String format, Object... args) {
    record.say(format, args);
    System.out.printf("%7.1f " + format + "%n", prepend(record.s(), args));
  }

  private static Object[] prepend(Object first, Object[] rest) {
    Object[] all = new Object[rest.length + 1];
    all[0] = first;
    System.arraycopy(rest, 0, all, 1, rest.length);
    return all;
  }

  /** Ends the run without a verdict. */
  static final class CannotRun extends Exception {
    CannotRun(String why) {
      super(why);
    }
  }

  void require(boolean condition, String what) throws CannotRun {
    if (!condition) {
      throw new CannotRun(what);
    }
  }

  static void run(Case c, String folder) {
    int code = 2;
    try {
      c.rig = new Rig(Path.of(folder));
      c.record = c.rig.record;
      Thread guard =
          new Thread(
              () -> {
                try {
                  Thread.sleep(117_000);
                } catch (InterruptedException e) {
                  return;
                }
                c.say("cannot run: not finished in time");
                c.rig.close();
                Runtime.getRuntime().halt(2);
              });
      guard.setDaemon(true);
      guard.start();
      c.say("TROUBLE=%s", c.trouble ? "1" : "0");
      boolean held = c.play();
      c.rig.closing = true;
      c.rig.recordLogs(8);
      c.say(held ? "the rule held" : "THE RULE WAS BROKEN");
      code = held ? 0 : 1;
    } catch (CannotRun e) {
      c.say("cannot run: %s", e.getMessage());
    } catch (Exception e) {
      e.printStackTrace();
      if (c.record != null) {
        c.record.say("cannot run: %s", e);
      }
    }
    if (c.rig != null) {
      c.rig.close();
    }
    Runtime.getRuntime().halt(code);
  }
}
