package org.sedgeroad.access;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The workspaces of one version of the configuration and the digests of their keys. Immutable. */
public final class WorkspaceDirectory {
  /** Directory of a configuration without workspaces, in which no request needs a key. */
  public static final WorkspaceDirectory NONE =
      new WorkspaceDirectory(false, Map.of(), Map.of(), List.of());

  private final boolean required;
  private final Map<String, Workspace> byName;
  private final Map<String, Workspace> byDigest;
  private final List<String> warnings;

  private WorkspaceDirectory(
      boolean required,
      Map<String, Workspace> byName,
      Map<String, Workspace> byDigest,
      List<String> warnings) {
    this.required = required;
    this.byName = byName;
    this.byDigest = byDigest;
    this.warnings = List.copyOf(warnings);
  }

  /** Returns whether requests need a key, because the configuration has workspaces. */
  public boolean isRequired() {
    return required;
  }

  /** Returns the workspace that holds the key of a credential, empty if none does. */
  public Optional<Workspace> find(Credential credential) {
    return credential.digest().map(byDigest::get);
  }

  /** Returns a workspace by its name, empty if there is none. */
  public Optional<Workspace> find(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /**
   * Returns the weight of a workspace when capacity is shared: {@link Workspace#weight}, or the
   * mean weight of all workspaces for a name that is not known, such as the empty name of the
   * requests without a workspace; 1 if there are no workspaces.
   */
  public double weight(String name) {
    Workspace workspace = byName.get(name);
    return workspace == null
        ? byName.values().stream().mapToDouble(Workspace::weight).average().orElse(1)
        : workspace.weight();
  }

  /** Returns all workspaces in the order of the configuration. */
  public Collection<Workspace> all() {
    return byName.values();
  }

  /** Returns what was left out of the configuration and why; names of workspaces, never keys. */
  public List<String> warnings() {
    return warnings;
  }

  /** Collects the workspaces of a configuration. */
  public static final class Builder {
    private final Map<String, Workspace> byName = new LinkedHashMap<>();
    private final Map<String, Workspace> byDigest = new HashMap<>();
    private final List<String> warnings = new ArrayList<>();

    /**
     * Adds a workspace without keys. It is left out with a warning if its name is used already.
     *
     * @return whether it was added
     */
    public boolean add(Workspace workspace) {
      boolean added = byName.putIfAbsent(workspace.name(), workspace) == null;
      if (!added) {
        warn("workspace " + workspace.name() + " is listed twice; the first entry is used");
      }
      return added;
    }

    /**
     * Adds a key of a workspace. If another workspace has the key, that one keeps it.
     *
     * @param workspace the workspace as it was added
     * @param key key in plain text, not kept
     */
    public void addKey(Workspace workspace, String key) {
      Workspace holder = byDigest.putIfAbsent(KeyDigest.of(key), workspace);
      if (holder != null && !holder.name().equals(workspace.name())) {
        warn(
            "workspaces "
                + holder.name()
                + " and "
                + workspace.name()
                + " list the same key; "
                + holder.name()
                + " keeps it");
      }
    }

    /** Records that something was left out. */
    public void warn(String text) {
      warnings.add(text);
    }

    /** Returns the directory, in which requests need a key. */
    public WorkspaceDirectory build() {
      return new WorkspaceDirectory(
          true, new LinkedHashMap<>(byName), Map.copyOf(byDigest), warnings);
    }
  }
}
