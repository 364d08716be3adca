package org.sedgeroad.limit;

/** Shares of a member's rate from which an instance may grant. */
public enum GrantScope {
  /** None: another instance owns the token buckets or may still own them. */
  NONE,
  /** The isolated share of the failure domain only, for example because the lease is not valid. */
  ISOLATED,
  /** The share only; an absent instance of the failure domain may use the isolated share. */
  SHARE,
  /** The share and the isolated share. */
  SHARE_AND_ISOLATED
}
