package org.sedgeroad.limit;

/** What an instance may grant as home of a member's token buckets. */
public enum GrantScope {
  /** Nothing: another instance is the home, or may still be. */
  NONE,
  /** The isolated share of the failure domain, because the lease is not valid. */
  ISOLATED,
  /** The share; an absent instance of the failure domain may be using the isolated share. */
  SHARE,
  /** The share and the isolated share. */
  SHARE_AND_ISOLATED
}
