package org.sedgeroad;

import java.util.Locale;

/** The class of service of a request. */
public enum ServiceClass {
  /** An interactive request whose caller waits for the answer. */
  LIVE,
  /** An item of a batch job. */
  BATCH;

  /** Name of the request header that carries the class. */
  public static final String HEADER = "X-Service-Class";

  /** Returns the value used in headers and metric labels, for example {@code live}. */
  public String toText() {
    return name().toLowerCase(Locale.ROOT);
  }
}
