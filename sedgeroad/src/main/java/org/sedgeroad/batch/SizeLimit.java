package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Largest size of a list of parts, in bytes.
 *
 * @param bytes the size, at least 1
 */
record SizeLimit(long bytes) {

  /** Returns the first parts that fit together, at least one unless there is none. */
  <T> List<T> first(List<T> parts, ToLongFunction<T> size) {
    List<T> first = new ArrayList<>();
    long total = 0;
    for (T part : parts) {
      total += size.applyAsLong(part);
      if (!first.isEmpty() && total > bytes) {
        break;
      }
      first.add(part);
    }
    return first;
  }

  /** Returns all parts in groups that fit; a part that does not fit alone is a group. */
  <T> List<List<T>> groups(List<T> parts, ToLongFunction<T> size) {
    List<List<T>> groups = new ArrayList<>();
    for (int next = 0; next < parts.size(); ) {
      List<T> group = first(parts.subList(next, parts.size()), size);
      groups.add(group);
      next += group.size();
    }
    return groups;
  }
}
