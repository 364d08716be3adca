package org.sedgeroad.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.sedgeroad.check.CheckOptions;
import org.sedgeroad.check.ConfigurationCheck;
import org.sedgeroad.check.ConfigurationDifferences;
import org.sedgeroad.check.ConfigurationFormat;
import org.sedgeroad.check.ConfigurationReader;
import org.sedgeroad.check.Finding;
import org.sedgeroad.check.FindingText;
import org.sedgeroad.check.Severity;
import org.sedgeroad.check.UnreadableConfigurationException;
import org.sedgeroad.settings.AccessSettings;

/**
 * Checks a configuration of routes, services and workspaces before it is sent to the store. Formats
 * of platforms are found on the class path.
 */
final class CheckConfigurationSubcommand extends Subcommand {
  /**
   * Largest file, in bytes. The store takes objects of a megabyte unless set otherwise. Two files
   * of this size with nothing but empty entries, names or keys were checked within 512 MB.
   */
  private static final long MAXIMUM_BYTES = 2 << 20;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Exit status if there are warnings and no errors. */
  private static final int WARNINGS = 1;

  @Argument(metaVar = "FILE", required = true, usage = "configuration to check, a JSON file")
  private Path file;

  @Option(name = "--against", metaVar = "FILE", usage = "list differences from this configuration")
  private Path against;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Option(
      name = "--format",
      metaVar = "NAME",
      usage = "'product', or the name of a platform's format (default: the platform's)")
  private String formatName;

  @Option(
      name = "--quota-window-seconds",
      metaVar = "N",
      usage = "window of the quotas, as in the settings of the instances")
  private double quotaWindowSeconds =
      AccessSettings.DEFAULT.quota().windowMillis() / MILLIS_PER_SECOND;

  @Option(
      name = "--capacity",
      metaVar = "N",
      usage = "live requests per second that all endpoints can serve, compared with the rates")
  private double capacity;

  /** A file that can't be checked. */
  private static final class UnreadableFile extends Exception {
    private static final long serialVersionUID = 1;
    private final transient Path file;
    private final String place;

    UnreadableFile(Path file, String place, String reason) {
      super(reason);
      this.file = file;
      this.place = place;
    }

    Finding finding() {
      return new Finding(
          Severity.ERROR, place.isEmpty() ? file.toString() : file + ", " + place, getMessage());
    }
  }

  @Override
  int run() {
    Map<String, ConfigurationFormat> formats = new TreeMap<>();
    ServiceLoader.load(ConfigurationFormat.class)
        .forEach(format -> formats.put(format.name(), format));
    ConfigurationFormat preferred =
        formats.values().stream().findFirst().orElse(ConfigurationFormat.PRODUCT);
    formats.put(ConfigurationFormat.PRODUCT.name(), ConfigurationFormat.PRODUCT);
    ConfigurationFormat format = formatName == null ? preferred : formats.get(formatName);
    if (format == null) {
      System.err.println(
          "unknown format " + formatName + "; known: " + String.join(", ", formats.keySet()));
      return ExitStatus.INVALID;
    }
    if (!(quotaWindowSeconds > 0) || !(capacity >= 0)) {
      System.err.println("the window must be above 0, the capacity at least 0");
      return ExitStatus.INVALID;
    }
    try {
      return print(findings(format));
    } catch (UnreadableFile unreadable) {
      Finding finding = unreadable.finding();
      if (json) {
        System.out.println(FindingText.json(file.toString(), List.of(finding)));
      } else {
        System.err.println(FindingText.line(finding));
      }
      return ExitStatus.INVALID;
    }
  }

  private List<Finding> findings(ConfigurationFormat format) throws UnreadableFile {
    ConfigurationReader.Result next = read(file, format);
    List<Finding> findings = new ArrayList<>(next.findings());
    long windowMillis = (long) (quotaWindowSeconds * MILLIS_PER_SECOND);
    findings.addAll(
        ConfigurationCheck.check(next.document(), new CheckOptions(windowMillis, capacity)));
    if (against != null) {
      // Faults of the configuration in force are not those of the file that is checked.
      findings.addAll(
          ConfigurationDifferences.between(next.document(), read(against, format).document()));
    }
    return findings;
  }

  private static ConfigurationReader.Result read(Path path, ConfigurationFormat format)
      throws UnreadableFile {
    try {
      if (Files.size(path) > MAXIMUM_BYTES) {
        throw new UnreadableFile(path, "", "is larger than " + MAXIMUM_BYTES + " bytes");
      }
      return ConfigurationReader.read(Files.readAllBytes(path), format);
    } catch (UnreadableConfigurationException unreadable) {
      throw new UnreadableFile(path, unreadable.place(), unreadable.getMessage());
    } catch (NoSuchFileException missing) {
      throw new UnreadableFile(path, "", "there is no such file");
    } catch (IOException failure) {
      throw new UnreadableFile(path, "", "can't be read: " + failure);
    }
  }

  private int print(List<Finding> findings) {
    if (json) {
      System.out.println(FindingText.json(file.toString(), findings));
    } else {
      findings.forEach(finding -> System.out.println(FindingText.line(finding)));
      System.out.println(
          file
              + ": "
              + FindingText.count(findings, Severity.ERROR)
              + " errors, "
              + FindingText.count(findings, Severity.WARNING)
              + " warnings");
    }
    return switch (FindingText.highest(findings)) {
      case ERROR -> ExitStatus.INVALID;
      case WARNING -> WARNINGS;
      case NOTE -> ExitStatus.DONE;
    };
  }
}
