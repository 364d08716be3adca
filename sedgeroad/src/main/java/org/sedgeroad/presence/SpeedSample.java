package org.sedgeroad.presence;

/**
 * Recent observations of the speed of one endpoint.
 *
 * @param count number of observations
 * @param thousandths sum of the observed times relative to those that were expected, in thousandths
 */
public record SpeedSample(int count, long thousandths) {

  /** Returns the sum of this sample and another. */
  public SpeedSample plus(SpeedSample other) {
    return new SpeedSample(count + other.count, thousandths + other.thousandths);
  }

  /** Returns this sample without another that is a part of it; no number becomes negative. */
  public SpeedSample minus(SpeedSample part) {
    return new SpeedSample(
        Math.max(0, count - part.count), Math.max(0, thousandths - part.thousandths));
  }
}
