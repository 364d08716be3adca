package org.sedgeroad.limit;

/** Determines which instance of the failure domain owns a member's token buckets. */
public interface OwnerView {

  /** Returns the name of the instance that grants for a member, null if none is known. */
  String ownerOf(String member);

  /** Returns from which shares of a member's rate this instance may grant now. */
  GrantScope grantScope(String member, long nowNanos);

  /**
   * Returns a number that changes whenever an instance joins or leaves the roster. Balances saved
   * under an earlier number are invalid, since another owner may have granted in between.
   */
  long generation();
}
