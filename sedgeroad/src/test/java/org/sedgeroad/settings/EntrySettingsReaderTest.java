package org.sedgeroad.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against settings faults that are reported one at a time or with a wrong location. */
class EntrySettingsReaderTest {
  private static final String VALID =
      """
      [instance]
      name = entry-1
      domain = a
      region = r
      [listen]
      callers = 127.0.0.1:8080
      operators = 127.0.0.1:8081
      peers = 127.0.0.1:8082
      [store]
      address = http://127.0.0.1:9000
      """;

  private static EntrySettings valid(String text) {
    EntrySettingsResult result = EntrySettingsReader.parse(text);
    return assertInstanceOf(EntrySettingsResult.Valid.class, result, result.toString()).settings();
  }

  private static List<String> faults(String text) {
    EntrySettingsResult result = EntrySettingsReader.parse(text);
    return assertInstanceOf(EntrySettingsResult.Invalid.class, result).faults().stream()
        .map(fault -> fault.line() + " " + fault.section() + " " + fault.key())
        .toList();
  }

  @Nested
  class Parse {
    @Test
    void needsOnlyTheRequiredKeys() {
      assertEquals("entry-1", valid(VALID).instance());
      assertTrue(valid(VALID).operatorTokenFile().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({
      "instance,name",
      "instance,domain",
      "instance,region",
      "listen,callers",
      "listen,operators",
      "listen,peers",
      "store,address"
    })
    void namesEachMissingKey(String section, String key) {
      String textWithoutKey = VALID.replaceFirst("(?m)^" + key + " = .*\n", "");
      assertTrue(
          faults(textWithoutKey).contains("0 " + section + " " + key),
          faults(textWithoutKey).toString());
    }

    /**
     * The test appends a section header (line 11) and the value (line 12) to the valid file. All
     * faults are reported on line 12, except that of the domains {@code b:r}, which is reported at
     * the domain of the instance on line 3.
     */
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "peers | domains | a",
          "peers | domains | b:r",
          "peers | seeds | host:1",
          "store | instance-list | 127.0.0.1:9000",
          "store | timeout-millis | 9",
          "store | lease-millis | soon",
          "policy | routing | best",
          "policy | batch | best",
          "policy | hedging | best",
          "threads | io | 0",
          "threads | workers | 3",
          "requests | maximum-body-bytes | -1",
          "requests | timeout-millis | 1.5",
          "stop | notice-millis | 600001",
          "stop | timeout-millis | 99",
          "operators | token | x",
        })
    void namesSectionKeyAndLineOfEachFault(String section, String key, String value) {
      List<String> faults = faults(VALID + "[" + section + "]\n" + key + " = " + value + "\n");
      // The instance's domain "a" is missing from this list.
      boolean reportedAtInstanceDomain = value.equals("b:r");
      assertEquals(
          List.of(reportedAtInstanceDomain ? "3 instance domain" : "12 " + section + " " + key),
          faults);
    }

    @Test
    void findsAllFaultsInFileOrder() {
      String text =
          VALID.replace("127.0.0.1:8081", "nowhere").replace("http://", "ftp://")
              + "[typo]\nx = 1\n[threads]\nio = 2\nio = 3\n";
      assertEquals(
          List.of("7 listen operators", "10 store address", "11 typo ", "14 threads io"),
          faults(text));
    }
  }

  /** Guards against a table in docs/OPERATIONS.md that differs from the keys of the reader. */
  @Nested
  class OperationsPage {
    private List<String[]> rows() throws IOException {
      List<String[]> rows = new ArrayList<>();
      for (String line : Files.readAllLines(Path.of("../docs/OPERATIONS.md"))) {
        if (line.matches("\\| `[a-z]+` \\| `[a-z-]+` \\|.*")) {
          rows.add(line.substring(2).split(" \\| "));
        }
      }
      return rows;
    }

    @Test
    void listsExactlyTheKeysOfTheReader() throws IOException {
      Set<String> listed = new TreeSet<>();
      for (String[] row : rows()) {
        listed.add((row[0] + "." + row[1]).replace("`", ""));
      }
      Set<String> known =
          EntrySettingsReader.keys().entrySet().stream()
              .flatMap(entry -> entry.getValue().stream().map(key -> entry.getKey() + "." + key))
              .collect(Collectors.toCollection(TreeSet::new));
      assertEquals(known, listed);
    }

    @Test
    void documentsTheActualDefaults() throws IOException {
      for (String[] row : rows()) {
        if (row[2].startsWith("`")) {
          String section = row[0].replace("`", "");
          String line = (row[1] + " = " + row[2]).replace("`", "");
          String text =
              VALID.contains("[" + section + "]")
                  ? VALID.replace("[" + section + "]\n", "[" + section + "]\n" + line + "\n")
                  : VALID + "[" + section + "]\n" + line + "\n";
          assertEquals(valid(VALID), valid(text), line);
        }
      }
    }
  }
}
