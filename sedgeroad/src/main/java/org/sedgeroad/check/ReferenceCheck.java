package org.sedgeroad.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sedgeroad.check.ConfigurationDocument.KeyEntry;
import org.sedgeroad.check.ConfigurationDocument.RouteEntry;
import org.sedgeroad.check.ConfigurationDocument.ServiceEntry;
import org.sedgeroad.check.ConfigurationDocument.SplitPart;
import org.sedgeroad.check.ConfigurationDocument.WorkspaceEntry;

/** Finds unknown services, names that are used twice and keys that are listed twice. */
final class ReferenceCheck {
  private ReferenceCheck() {}

  static List<Finding> unknownServices(ConfigurationDocument document) {
    Set<String> known =
        document.services().stream().map(ServiceEntry::name).collect(Collectors.toSet());
    List<Finding> findings = new ArrayList<>();
    for (RouteEntry route : document.routes()) {
      for (SplitPart part : route.split()) {
        if (!known.contains(part.service())) {
          findings.add(
              Finding.error(part.place(), "there is no service " + QuotedText.of(part.service())));
        }
      }
    }
    return findings;
  }

  static List<Finding> duplicateNames(ConfigurationDocument document) {
    List<Finding> findings = new ArrayList<>();
    findings.addAll(duplicates(document, document.routes(), RouteEntry::name, RouteEntry::place));
    findings.addAll(
        duplicates(document, document.services(), ServiceEntry::name, ServiceEntry::place));
    findings.addAll(
        duplicates(document, document.workspaces(), WorkspaceEntry::name, WorkspaceEntry::place));
    return findings;
  }

  private static <T> List<Finding> duplicates(
      ConfigurationDocument document,
      List<T> entries,
      Function<T, String> name,
      Function<T, String> place) {
    Map<String, String> firstPlaces = new HashMap<>();
    List<Finding> findings = new ArrayList<>();
    for (T entry : entries) {
      String first = firstPlaces.putIfAbsent(name.apply(entry), place.apply(entry));
      if (first != null) {
        findings.add(
            Finding.error(
                document.place(place.apply(entry), Field.NAME),
                "the name " + QuotedText.of(name.apply(entry)) + " is used by " + first));
      }
    }
    return findings;
  }

  /** Keys in two workspaces are errors; a key that one workspace lists twice has no effect. */
  static List<Finding> repeatedKeys(ConfigurationDocument document) {
    record Holder(WorkspaceEntry workspace, KeyEntry key) {}
    Map<String, Holder> holders = new HashMap<>();
    List<Finding> findings = new ArrayList<>();
    for (WorkspaceEntry workspace : document.workspaces()) {
      for (KeyEntry key : workspace.keys()) {
        Holder first = holders.putIfAbsent(key.digest(), new Holder(workspace, key));
        if (first == null) {
          continue;
        }
        String firstPlace = first.key().place();
        if (first.workspace().name().equals(workspace.name())) {
          findings.add(Finding.warning(key.place(), "is the same key as " + firstPlace));
        } else {
          findings.add(
              Finding.error(
                  key.place(),
                  "is the same key as "
                      + firstPlace
                      + ": its requests are those of workspace "
                      + QuotedText.of(first.workspace().name())));
        }
      }
    }
    return findings;
  }
}
