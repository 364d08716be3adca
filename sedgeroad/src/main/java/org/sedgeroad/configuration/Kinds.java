package org.sedgeroad.configuration;

import java.util.List;

/** Names of the kinds of store objects. */
public final class Kinds {
  /** Members and the hashes of their keys. */
  public static final String MEMBERS = "members";

  /** Models, and plain services that are routed by path prefix. */
  public static final String MODELS = "models";

  /** Voted limits, one object per member. */
  public static final String LIMITS = "limits";

  /** Fractions of each member's limits that the failure domains get. */
  public static final String SHARES = "shares";

  /** Batch jobs. */
  public static final String JOBS = "jobs";

  /** Fingerprints of quarantined requests. */
  public static final String QUARANTINES = "quarantines";

  /** Orders to endpoints. */
  public static final String ORDERS = "orders";

  /** Endpoints and instances that operators have drained, see {@link #drainName}. */
  public static final String DRAINS = "drains";

  /** Uploaded files. */
  public static final String FILES = "files";

  /** Items of a file, packed into objects. */
  public static final String INPUTS = "inputs";

  /** Claimed segments of a job. */
  public static final String SEGMENTS = "segments";

  /** Chunks of the results of a segment. */
  public static final String RESULTS = "results";

  /** Leases held by the instances of a failure domain. */
  public static final String LEASES = "leases";

  /** Claims of non-idempotent live requests. */
  public static final String CLAIMS = "claims";

  /** Kinds whose objects are replicated to every instance. */
  public static final List<String> REPLICATED =
      List.of(MEMBERS, MODELS, LIMITS, SHARES, JOBS, QUARANTINES, ORDERS, DRAINS);

  private Kinds() {}

  /**
   * Returns the name of the object that drains an endpoint or instance.
   *
   * @param target {@code endpoint} or {@code instance}
   * @param name name of the endpoint or instance
   */
  public static String drainName(String target, String name) {
    return target + "." + name;
  }
}
