package org.sedgeroad.limit;

/** Names of the fields of a lease object that this package reads and writes. */
final class LeaseFields {
  /** Renewal counter of each holder. */
  static final String HOLDERS = "holders";

  /** Entry of each holder that may own token buckets. */
  static final String ROSTER = "roster";

  /** Entry of each instance whose lease expired without a planned stop. */
  static final String ABSENT = "absent";

  /** Number of changes of the roster so far. */
  static final String EPOCH = "epoch";

  /** Epoch in which an instance joined. */
  static final String JOINED = "joined";

  /** Latest epoch that an instance has adopted. */
  static final String ADOPTED = "adopted";

  /** Version of the limits that an instance has applied. */
  static final String LIMITS = "limits";

  /** Version of the share ledgers that an instance has applied. */
  static final String SHARES = "shares";

  /** Version of the limits below which no instance of the failure domain may grant. */
  static final String LIMITS_FLOOR = "limits-floor";

  /** Version of the share ledgers below which no instance of the failure domain may grant. */
  static final String SHARES_FLOOR = "shares-floor";

  private LeaseFields() {}
}
