package org.sedgeroad;

import java.util.Locale;

/** Class of service of a request. */
public enum ServiceClass {
  /** Interactive work of a waiting caller. */
  LIVE,
  /** Items of batch jobs. */
  BATCH;

  /** Name of the request header that carries the class. */
  public static final String HEADER = "X-Service-Class";

  /** Returns the form used in headers and labels, for example {@code live}. */
  public String toText() {
    return name().toLowerCase(Locale.ROOT);
  }
}
