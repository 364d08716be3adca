package org.sedgeroad.limit;

/** Which instance of the failure domain is the home of a member's token buckets. */
public interface OwnerView {

  /** Returns the instance to ask for sub-grants of a member; null if none is known. */
  String ownerOf(String member);

  /** Returns what this instance may grant of a member's rate now. */
  GrantScope grantScope(String member, long nowNanos);

  /**
   * Returns a number that changes when an instance joins or leaves the choice of homes. Balances
   * saved under an earlier number are void, since another home may have granted in between.
   */
  long generation();
}
