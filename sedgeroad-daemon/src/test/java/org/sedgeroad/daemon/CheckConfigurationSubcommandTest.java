package org.sedgeroad.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against exit statuses by which a script would send a faulty configuration. */
class CheckConfigurationSubcommandTest {
  private static final String VALID =
      """
      {"version": 7,
       "routes": [{"name": "chat", "host": "desk.example", "pathPrefix": "/chat/",
         "kind": "streaming", "service": "engine", "timeoutMillis": 5000, "objectiveMillis": 300}],
       "services": [{"name": "engine", "engineSlots": 8}],
       "workspaces": [{"name": "lenga", "keys": ["secret-a"]}]}
      """;

  @TempDir Path folder;
  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
  private final PrintStream out = System.out;
  private final PrintStream err = System.err;

  @BeforeEach
  void capture() {
    System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(printed, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void restore() {
    System.setOut(out);
    System.setErr(err);
  }

  private String file(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  /** Runs the program, and checks what it printed for keys. */
  private void assertStatus(int expected, String... arguments) {
    String[] all = new String[arguments.length + 1];
    all[0] = "check-configuration";
    System.arraycopy(arguments, 0, all, 1, arguments.length);
    printed.reset();
    int status = Main.run(all);
    assertEquals(expected, status, this::text);
    assertFalse(text().contains("secret-"), text());
  }

  private String text() {
    return printed.toString(StandardCharsets.UTF_8);
  }

  @Test
  void tellsCleanConfigurationsFromWarningsAndErrors() throws IOException {
    assertStatus(0, file("clean", VALID));
    assertStatus(1, file("warning", VALID.replace("300", "9000")));
    assertTrue(text().contains("warning: routes[0].timeoutMillis: is below"), text());
    assertStatus(2, file("error", VALID.replace("\"service\": \"engine\"", "\"service\": \"e\"")));
    assertTrue(text().contains("error: routes[0].service: there is no service \"e\""), text());
  }

  @Test
  void listsDifferencesWithoutChangingTheStatus() throws IOException {
    String next = VALID.replace("7,", "8,").replace("secret-a", "secret-b");
    assertStatus(0, file("next", next), "--against", file("current", VALID));
    assertTrue(text().contains("keys added: 1"), text());
    assertTrue(text().contains("keys revoked: 1"), text());
  }

  @Test
  void namesFileAndPlaceOfWhatCannotBeRead() throws IOException {
    String clean = file("clean", VALID);
    assertStatus(2, file("broken", "{\"version\": secret-a}"));
    assertTrue(text().contains("broken, line 1, column"), text());
    assertStatus(2, folder.resolve("absent").toString());
    assertTrue(text().contains("absent: there is no such file"), text());
    assertStatus(2, folder.toString());
    assertStatus(2, clean, "--against", file("empty", ""), "--json");
    JsonNode json = new ObjectMapper().readTree(text());
    assertTrue(json.path("findings").path(0).path("place").asText().endsWith("empty"), text());
  }

  @Test
  void printsFindingsAsJson() throws IOException {
    assertStatus(1, file("warning", VALID.replace("300", "9000")), "--json");
    JsonNode json = new ObjectMapper().readTree(text());
    assertEquals(1, json.path("warnings").asInt());
    assertEquals("routes[0].timeoutMillis", json.path("findings").path(0).path("place").asText());
  }

  @Test
  void refusesInvalidArguments() throws IOException {
    assertStatus(2);
    assertStatus(2, file("clean", VALID), "--format", "other");
    assertStatus(2, file("clean", VALID), "--capacity", "-1");
  }
}
