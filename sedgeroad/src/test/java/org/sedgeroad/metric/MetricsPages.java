package org.sedgeroad.metric;

import java.lang.reflect.Proxy;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;

/** Helper methods for tests that compare exported metrics with their documentation pages. */
public final class MetricsPages {
  private MetricsPages() {}

  /**
   * Returns a store without objects: each blocking call results in {@link StoreResult.Absent}. A
   * watch is not supported.
   */
  public static ObjectStore emptyStore() {
    return (ObjectStore)
        Proxy.newProxyInstance(
            ObjectStore.class.getClassLoader(),
            new Class<?>[] {ObjectStore.class},
            (proxy, method, arguments) -> new StoreResult.Absent<>());
  }

  /** Returns the names of the metrics in a text in the Prometheus format. */
  public static Set<String> exportedNames(String text) {
    return firstGroups(text, "^# TYPE (\\S+) ");
  }

  /** Returns the names of the metrics in the tables of a documentation page. */
  public static Set<String> documentedNames(String page) {
    return firstGroups(page, "^\\| `(sedgeroad_[a-z_]+)` \\|");
  }

  /** Returns the first capturing group of each match of a regular expression. */
  public static Set<String> firstGroups(String text, String pattern) {
    Set<String> groups = new TreeSet<>();
    Matcher matcher = Pattern.compile(pattern, Pattern.MULTILINE).matcher(text);
    while (matcher.find()) {
      groups.add(matcher.group(1));
    }
    return groups;
  }
}
