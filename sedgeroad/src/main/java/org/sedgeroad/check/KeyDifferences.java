package org.sedgeroad.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.check.ConfigurationDocument.KeyEntry;
import org.sedgeroad.check.ConfigurationDocument.WorkspaceEntry;

/** Counts the keys of each workspace that are added, revoked or moved. Never returns a key. */
final class KeyDifferences {
  private KeyDifferences() {}

  static List<Finding> between(ConfigurationDocument next, ConfigurationDocument current) {
    Map<String, WorkspaceEntry> nextHolders = holders(next);
    Map<String, WorkspaceEntry> currentHolders = holders(current);
    List<Finding> findings = new ArrayList<>();
    for (WorkspaceEntry workspace : next.workspaces()) {
      int added = 0;
      int moved = 0;
      for (String digest : keysOf(workspace, nextHolders)) {
        WorkspaceEntry before = currentHolders.get(digest);
        added += before == null ? 1 : 0;
        moved += before != null && !before.name().equals(workspace.name()) ? 1 : 0;
      }
      String place = next.place(workspace.place(), Field.KEYS);
      report(
          findings,
          place,
          workspace,
          added,
          "added",
          "they are accepted once the version is in force");
      report(
          findings,
          place,
          workspace,
          moved,
          "moved here from another workspace",
          "their requests count for this workspace, and they can't access jobs of the other");
    }
    for (WorkspaceEntry workspace : current.workspaces()) {
      int revoked = 0;
      for (String digest : keysOf(workspace, currentHolders)) {
        revoked += nextHolders.containsKey(digest) ? 0 : 1;
      }
      String place =
          ConfigurationDifferences.placeInForce(current.place(workspace.place(), Field.KEYS));
      String effect =
          next.hasWorkspaces()
              ? "requests with them are refused with 401; jobs continue"
              : "no key is needed any more";
      report(findings, place, workspace, revoked, "revoked", effect);
    }
    return findings;
  }

  /** Returns the workspace that each key belongs to: the first that lists it. */
  private static Map<String, WorkspaceEntry> holders(ConfigurationDocument document) {
    Map<String, WorkspaceEntry> holders = new HashMap<>();
    for (WorkspaceEntry workspace : document.workspaces()) {
      for (KeyEntry key : workspace.keys()) {
        holders.putIfAbsent(key.digest(), workspace);
      }
    }
    return holders;
  }

  private static List<String> keysOf(
      WorkspaceEntry workspace, Map<String, WorkspaceEntry> holders) {
    return workspace.keys().stream()
        .map(KeyEntry::digest)
        .distinct()
        .filter(digest -> holders.get(digest) == workspace)
        .toList();
  }

  private static void report(
      List<Finding> findings,
      String place,
      WorkspaceEntry workspace,
      int count,
      String what,
      String effect) {
    if (count > 0) {
      findings.add(
          Finding.note(
              place,
              "workspace "
                  + QuotedText.of(workspace.name())
                  + ": keys "
                  + what
                  + ": "
                  + count
                  + "; "
                  + effect));
    }
  }
}
