package org.sedgeroad.presence;

/**
 * Evidence of the newest version of the configuration: a read of the store that began some time ago
 * returned it.
 *
 * @param version the version
 * @param ageMillis time since the read began, in milliseconds; {@link Integer#MAX_VALUE} if there
 *     was none
 */
public record Confirmation(long version, int ageMillis) {
  /** No read. */
  public static final Confirmation NONE = new Confirmation(0, Integer.MAX_VALUE);

  /** Returns this confirmation after it was held for some more milliseconds, not negative. */
  public Confirmation aged(long millis) {
    return ageMillis == Integer.MAX_VALUE
        ? this
        : new Confirmation(version, (int) Math.min(Integer.MAX_VALUE - 1, ageMillis + millis));
  }

  /** Returns the younger one of two confirmations. */
  public Confirmation younger(Confirmation other) {
    return other.ageMillis < ageMillis ? other : this;
  }
}
