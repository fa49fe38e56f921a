package wickdrift.lab;

import com.electronwill.nightconfig.core.Config;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;

/** {@code wickdrift-lab variants}: site files and days of one's own, made of a site file. */
@CommandLine.Command(
    name = "variants",
    mixinStandardHelpOptions = true,
    description = {
      "Writes, for every variant of a description, a site file, and for every day, a day file on",
      "that site: DIR/SITE-VARIANT.toml and DIR/SITE-VARIANT.days/DAY.toml. Exit code 2: bad input."
    })
final class VariantCommand implements Callable<Integer> {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @CommandLine.Parameters(index = "0", paramLabel = "DESCRIPTION", description = "As lab/days.toml")
  private Path description;

  @CommandLine.Parameters(index = "1", paramLabel = "DIR", description = "Where to write")
  private Path dir;

  @CommandLine.Parameters(index = "2..*", arity = "1..*", paramLabel = "SITE")
  private Path[] sites;

  @Override
  public Integer call() {
    try {
      Config all = Toml.load(description);
      Toml.only(all, Set.of("variant", "day"), description.toString());
      for (Path p : sites) {
        write(all, p);
      }
      return 0;
    } catch (BadInput | IOException e) {
      spec.commandLine().getErr().println("wickdrift-lab: " + e.getMessage());
      return 2;
    }
  }

  private void write(Config all, Path p) throws BadInput, IOException {
    Set<String> names = new HashSet<>();
    for (Config v : Toml.tables(all, "variant")) {
      Variant variant = new Variant(v);
      if (!names.add(variant.name())) {
        throw new BadInput("two variants are called " + variant.name());
      }
      Config site = Toml.load(p);
      String name = Toml.text(site, "name", p.toString()) + "-" + variant.name();
      variant.apply(site);
      site.set("name", name);
      Path days = dir.resolve(name + ".days");
      Files.createDirectories(days);
      Files.writeString(dir.resolve(name + ".toml"), Toml.text(site));
      if (site.get("wire") instanceof String wire && Files.exists(p.resolveSibling(wire))) {
        Files.copy(p.resolveSibling(wire), dir.resolve(wire), StandardCopyOption.REPLACE_EXISTING);
      }
      for (Config d : Toml.tables(all, "day")) {
        Day day = new Day(d);
        Files.writeString(days.resolve(day.name() + ".toml"), Toml.text(day.on(site)));
      }
    }
  }
}
