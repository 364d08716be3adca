package org.sedgeroad.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.StringArrayOptionHandler;
import org.sedgeroad.explain.Explanation;
import org.sedgeroad.explain.ExplanationText;
import org.sedgeroad.explain.LoggedEvent;

/** Prints the events about a request, an item or a job from the logs of several instances. */
final class ExplainSubcommand extends Subcommand {
  @Argument(metaVar = "ID", required = true, usage = "id of a request, an item or a job")
  private String id;

  @Option(
      name = "--log",
      required = true,
      metaVar = "FILE...",
      handler = StringArrayOptionHandler.class,
      usage = "logs of instances, one file each or several together")
  private String[] logs;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  int run() {
    List<LoggedEvent> events = new ArrayList<>();
    for (String log : logs) {
      try {
        read(Path.of(log), events);
      } catch (IOException failure) {
        System.err.println("cannot read " + log + ": " + failure);
        return ExitStatus.FAILED;
      }
    }
    Explanation explanation = Explanation.of(id, events);
    if (explanation.events().isEmpty()) {
      System.err.println("no line of " + events.size() + " events is about " + id);
      return ExitStatus.REFUSED;
    }
    if (json) {
      System.out.println(ExplanationText.json(explanation));
    } else {
      System.out.println(id + ": * its own, i of its instances, e of its endpoints");
      ExplanationText.lines(explanation).forEach(System.out::println);
    }
    return ExitStatus.DONE;
  }

  /**
   * Adds the events of a log. Replaces malformed characters, because a truncated log can end inside
   * a character.
   */
  private static void read(Path file, List<LoggedEvent> events) throws IOException {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(
                Files.newInputStream(file),
                StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPLACE)
                    .onUnmappableCharacter(CodingErrorAction.REPLACE)))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        Optional<LoggedEvent> event = LoggedEvent.parse(line);
        event.ifPresent(events::add);
      }
    }
  }
}
