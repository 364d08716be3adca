package org.sedgeroad.metric;

import java.lang.reflect.Proxy;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;

/** What tests need that compare scraped metrics with the pages about them. */
public final class MetricsPages {
  private MetricsPages() {}

  /** Returns a store that has no objects. */
  public static ObjectStore emptyStore() {
    return (ObjectStore)
        Proxy.newProxyInstance(
            ObjectStore.class.getClassLoader(),
            new Class<?>[] {ObjectStore.class},
            (proxy, method, arguments) -> new StoreResult.Absent<>());
  }

  /** Returns the names of the metrics in a scraped text. */
  public static Set<String> scraped(String text) {
    return names(text, "^# TYPE (\\S+) ");
  }

  /** Returns the names of the metrics in the tables of a page. */
  public static Set<String> documented(String page) {
    return names(page, "^\\| `(sedgeroad_[a-z_]+)` \\|");
  }

  /** Returns the first group of each match of a pattern. */
  public static Set<String> names(String text, String pattern) {
    Set<String> names = new TreeSet<>();
    Matcher matcher = Pattern.compile(pattern, Pattern.MULTILINE).matcher(text);
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
    return names;
  }
}
