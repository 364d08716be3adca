package org.sedgeroad.configuration;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks the complete version of each kind of object: the store version up to which the
 * configuration replica has applied every change.
 *
 * <p>This differs from the highest version in the replica, which may contain version 10 although it
 * missed version 9. Thread-safe.
 */
public final class CompleteVersions {
  /** Returned for a kind that has no complete version yet. */
  public static final long NONE = -1;

  private final Map<String, Long> versions = new ConcurrentHashMap<>();
  private final List<String> kinds;

  /** Creates an object that tracks the given kinds, none of which has a complete version yet. */
  public CompleteVersions(List<String> kinds) {
    this.kinds = List.copyOf(kinds);
  }

  /** Returns the complete version of a kind, {@link #NONE} if there is none. */
  public long get(String kind) {
    return versions.getOrDefault(kind, NONE);
  }

  /** Returns the complete versions of all kinds that have one. */
  public Map<String, Long> toMap() {
    return Map.copyOf(versions);
  }

  /** Returns whether every kind has a complete version. */
  public boolean isComplete() {
    return versions.keySet().containsAll(kinds);
  }

  /**
   * Records that all changes after version {@code above}, up to and including version {@code
   * complete}, have been applied. Has no effect if changes at or below {@code above} are missing. A
   * negative {@code complete} or a kind that is not tracked is ignored.
   *
   * @return whether all changes up to {@code complete} have been applied; true for ignored
   *     arguments
   */
  public boolean advance(String kind, long above, long complete) {
    if (complete < 0 || !kinds.contains(kind)) {
      return true;
    }
    versions.compute(
        kind,
        (key, current) -> {
          long before = current == null ? NONE : current;
          return before >= above && complete > before ? Long.valueOf(complete) : current;
        });
    return get(kind) >= complete;
  }
}
