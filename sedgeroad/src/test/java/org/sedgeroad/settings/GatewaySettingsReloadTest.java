package org.sedgeroad.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.event.EventLog;

/** Guards against a reload that applies a file with faults or a value that needs a restart. */
class GatewaySettingsReloadTest {
  private static final String TEXT =
      """
      [instance]
      name = n
      domain = a
      domains = a:north

      [listen]
      clients = 127.0.0.1:1
      readiness = 127.0.0.1:2
      reports = 127.0.0.1:3
      exchange = 127.0.0.1:4
      metrics = 127.0.0.1:5

      [store]
      address = http://127.0.0.1:6

      [stop]
      timeout-seconds = 8
      """;

  @TempDir Path folder;
  private final GatewaySettings current = GatewaySettingsReader.parse(TEXT, fault -> {});

  private GatewaySettings reload(String text) throws IOException {
    assertNotNull(current);
    Path file = folder.resolve("instance.ini");
    Files.writeString(file, text);
    return GatewaySettingsReload.read(file, current, EventLog.of("n"));
  }

  @Nested
  class ValidFile {
    @Test
    void appliesDomainsAndStopTimes() throws IOException {
      GatewaySettings next =
          reload(TEXT.replace("a:north", "a:south, b:south").replace("= 8", "= 20"));
      assertEquals("south", next.region("b"));
      // Half a second of the 20 s is reserved for closing connections.
      assertEquals(19_500, next.stopTimeoutMillis());
    }

    @Test
    void appliesAStopTimeWithAFraction() throws IOException {
      assertEquals(8_250, reload(TEXT.replace("= 8", "= 8.75")).stopTimeoutMillis());
    }

    @Test
    void ignoresAddressesThatNeedARestart() throws IOException {
      assertEquals(current, reload(TEXT.replace("127.0.0.1:1", "127.0.0.1:9")));
    }
  }

  @Nested
  class InvalidFile {
    @Test
    void changesNothing() throws IOException {
      assertEquals(current, reload(TEXT.replace("a:north", "a-north")));
      assertEquals(current, reload(""));
    }

    /** A value that can't be read may not end the process or take the old one away. */
    @ParameterizedTest
    @ValueSource(
        strings = {"8,5", "8.5.1", "eight", "NaN", "-8", "", "true", "1e99", "0", "99999999999999"})
    void keepsTheStopTimeInForce(String value) throws IOException {
      assertEquals(current, reload(TEXT.replace("= 8", "= " + value)));
    }

    @Test
    void changesNothingWithoutAFile() {
      Path missing = folder.resolve("missing.ini");
      assertEquals(current, GatewaySettingsReload.read(missing, current, EventLog.of("n")));
    }
  }
}
