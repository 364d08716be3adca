package org.sedgeroad.configuration;

import java.util.List;

/** Names of the object kinds in the store. */
public final class Kinds {
  /** Members with the hashes of their keys. */
  public static final String MEMBERS = "members";

  /** Models and plain services. */
  public static final String MODELS = "models";

  /** Voted limits, one object per member. */
  public static final String LIMITS = "limits";

  /** Shares of the failure domains in the limits. */
  public static final String SHARES = "shares";

  /** Batch jobs. */
  public static final String JOBS = "jobs";

  /** Quarantined request fingerprints. */
  public static final String QUARANTINES = "quarantines";

  /** Orders to endpoints. */
  public static final String ORDERS = "orders";

  /** Endpoints and instances that operators took out of use, see {@link #drainName}. */
  public static final String DRAINS = "drains";

  /** Uploaded files. */
  public static final String FILES = "files";

  /** Packed items of a file. */
  public static final String INPUTS = "inputs";

  /** Claimed segments of a job. */
  public static final String SEGMENTS = "segments";

  /** Result chunks of a segment. */
  public static final String RESULTS = "results";

  /** Leases of the instances of a failure domain. */
  public static final String LEASES = "leases";

  /** Claims of non-idempotent live requests. */
  public static final String CLAIMS = "claims";

  /** Kinds that every instance holds a copy of. */
  public static final List<String> REPLICATED =
      List.of(MEMBERS, MODELS, LIMITS, SHARES, JOBS, QUARANTINES, ORDERS, DRAINS);

  private Kinds() {}

  /**
   * Returns the name of the object that takes something out of use.
   *
   * @param target {@code endpoint} or {@code instance}
   * @param name name of the endpoint or instance
   */
  public static String drainName(String target, String name) {
    return target + "." + name;
  }
}
