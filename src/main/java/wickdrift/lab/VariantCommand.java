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

/**
 * {@code wickdrift-lab variants}: generates variants of site files, and the days of a description
 * for each variant.
 */
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
  private Path descriptionFile;

  @CommandLine.Parameters(index = "1", paramLabel = "DIR", description = "Where to write")
  private Path outputDir;

  @CommandLine.Parameters(index = "2..*", arity = "1..*", paramLabel = "SITE")
  private Path[] siteFiles;

  @Override
  public Integer call() {
    try {
      Config description = Toml.load(descriptionFile);
      Toml.rejectUnknownFields(description, Set.of("variant", "day"), descriptionFile.toString());
      for (Path siteFile : siteFiles) {
        writeVariants(description, siteFile);
      }
      return 0;
    } catch (InvalidInputException | IOException e) {
      spec.commandLine().getErr().println("wickdrift-lab: " + e.getMessage());
      return 2;
    }
  }

  private void writeVariants(Config description, Path siteFile)
      throws InvalidInputException, IOException {
    Set<String> variantNames = new HashSet<>();
    for (Config variantTable : Toml.tables(description, "variant")) {
      Variant variant = new Variant(variantTable);
      if (!variantNames.add(variant.name())) {
        throw new InvalidInputException("two variants are called " + variant.name());
      }
      Config site = Toml.load(siteFile);
      String siteName = Toml.requireText(site, "name", siteFile.toString()) + "-" + variant.name();
      variant.applyTo(site);
      site.set("name", siteName);
      Path daysDir = outputDir.resolve(siteName + ".days");
      Files.createDirectories(daysDir);
      Files.writeString(outputDir.resolve(siteName + ".toml"), Toml.serialize(site));
      if (site.get("wire") instanceof String wireFile
          && Files.exists(siteFile.resolveSibling(wireFile))) {
        Files.copy(
            siteFile.resolveSibling(wireFile),
            outputDir.resolve(wireFile),
            StandardCopyOption.REPLACE_EXISTING);
      }
      for (Config dayTable : Toml.tables(description, "day")) {
        Day day = new Day(dayTable);
        Files.writeString(
            daysDir.resolve(day.name() + ".toml"), Toml.serialize(day.resolveFor(site)));
      }
    }
  }
}
