package org.sedgeroad.configuration;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Store version of each kind up to which a replica has applied every change.
 *
 * <p>The highest version held says less: a replica may hold version 10 and have missed version 9.
 * Thread-safe.
 */
public final class CompleteVersions {
  /** Version of a kind of which nothing is complete. */
  public static final long NONE = -1;

  private final Map<String, Long> versions = new ConcurrentHashMap<>();
  private final List<String> kinds;

  /** Creates versions that are complete once each of the given kinds is. */
  public CompleteVersions(List<String> kinds) {
    this.kinds = List.copyOf(kinds);
  }

  /** Returns the version of a kind, {@link #NONE} if nothing of it is complete. */
  public long get(String kind) {
    return versions.getOrDefault(kind, NONE);
  }

  /** Returns the versions of all kinds that have one. */
  public Map<String, Long> toMap() {
    return Map.copyOf(versions);
  }

  /** Returns whether every kind has a version. */
  public boolean isComplete() {
    return versions.keySet().containsAll(kinds);
  }

  /**
   * Records that all changes above one version and up to another have been applied.
   *
   * @return whether nothing is missing up to {@code complete} now
   */
  public boolean advance(String kind, long above, long complete) {
    if (complete < 0 || !kinds.contains(kind)) {
      return true;
    }
    versions.compute(
        kind,
        (key, held) -> {
          long before = held == null ? NONE : held;
          return before >= above && complete > before ? Long.valueOf(complete) : held;
        });
    return get(kind) >= complete;
  }
}
