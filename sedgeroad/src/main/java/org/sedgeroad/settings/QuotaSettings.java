package org.sedgeroad.settings;

/**
 * Settings of the quotas of workspaces.
 *
 * @param windowMillis length of the window in which the requests of a workspace are counted, in
 *     milliseconds
 * @param tolerance part of a quota by which it may be exceeded in a window, from 0 to 1
 * @param toleratedRequests number of requests by which it may be exceeded beyond that
 */
public record QuotaSettings(long windowMillis, double tolerance, double toleratedRequests) {
  /** A window of five seconds, and no tolerance. */
  public static final QuotaSettings DEFAULT = new QuotaSettings(5_000, 0, 0);
}
