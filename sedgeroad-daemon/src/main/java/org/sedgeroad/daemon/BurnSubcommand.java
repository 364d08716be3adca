package org.sedgeroad.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.sedgeroad.burn.BurnPage;
import org.sedgeroad.burn.BurnReport;
import org.sedgeroad.burn.BurnText;

/** Prints what the members' error budgets were spent on, or writes it to an HTML page. */
final class BurnSubcommand extends RemoteSubcommand {
  @Option(name = "--html", metaVar = "FILE", usage = "write one self-contained HTML page")
  private Path html;

  @Option(name = "--json", usage = "print JSON", forbids = "--html")
  private boolean json;

  @Argument(metaVar = "URL", usage = "further instances to add to the report")
  private List<URI> others = new ArrayList<>();

  @Override
  int run() {
    Optional<BurnReport> first = fetch(address());
    if (first.isEmpty()) {
      return ExitStatus.REFUSED;
    }
    BurnReport report = first.get();
    for (URI other : others) {
      Optional<BurnReport> next = fetch(other);
      if (next.isEmpty()) {
        return ExitStatus.REFUSED;
      }
      report = report.plus(next.get());
    }
    return print(report);
  }

  private int print(BurnReport report) {
    if (html != null) {
      return writePage(report);
    }
    if (json) {
      System.out.println(report.toJson());
    } else {
      BurnText.lines(report).forEach(System.out::println);
    }
    return ExitStatus.DONE;
  }

  private int writePage(BurnReport report) {
    try {
      Files.writeString(html, BurnPage.html(report));
      System.out.println("wrote " + html);
      return ExitStatus.DONE;
    } catch (IOException failure) {
      System.err.println("cannot write " + html + ": " + failure);
      return ExitStatus.FAILED;
    }
  }

  /** Fetches the report of an instance; returns empty after printing why there is none. */
  private Optional<BurnReport> fetch(URI address) {
    Optional<AdministrationClient> created = createClient(address);
    if (created.isEmpty()) {
      return Optional.empty();
    }
    try (AdministrationClient client = created.get()) {
      AdministrationClient.Answer answer = client.get("/admin/burn");
      if (answer instanceof AdministrationClient.Received received) {
        JsonNode body = received.body();
        if (received.status() == 200) {
          return Optional.of(BurnReport.fromJson(body));
        }
        System.err.println(address + " refused: " + body.path("error").path("message").asText());
      } else if (answer instanceof AdministrationClient.NotSent notSent) {
        System.err.println("cannot reach " + address + ": " + notSent.reason());
      } else {
        System.err.println("no whole answer from " + address + "; ask again");
      }
      return Optional.empty();
    }
  }
}
