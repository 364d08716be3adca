package org.sedgeroad.testing.platform;

import java.util.Random;
import org.sedgeroad.MonotonicClock;

/** The faults that the stand-in injects at present. Thread-safe. */
final class PlatformFaults {
  private final MonotonicClock clock;
  private final Random random;
  private RateLimit writeLimit;
  private RateLimit readLimit;
  private OutageMode outage = OutageMode.NONE;
  private boolean instancesIncluded;
  private long delayMillis;
  private long jitterMillis;
  private long answersToLose;
  private double lostAnswerProbability;
  private String lostAnswerKind = "";
  private boolean hangOnLostAnswer;

  PlatformFaults(MonotonicClock clock, long seed) {
    this.clock = clock;
    this.random = new Random(seed);
    limitRates(0, 0);
  }

  /**
   * Limits the numbers of writes and reads of the object API per second; 0 means no limit. The
   * start of a watch counts as a read.
   */
  synchronized void limitRates(double writesPerSecond, double readsPerSecond) {
    writeLimit = RateLimit.perSecond(writesPerSecond, clock);
    readLimit = RateLimit.perSecond(readsPerSecond, clock);
  }

  synchronized void setOutage(OutageMode mode, boolean includeInstances) {
    outage = mode;
    instancesIncluded = includeInstances;
  }

  synchronized void setDelay(long millis, long jitter) {
    delayMillis = millis;
    jitterMillis = jitter;
  }

  /**
   * Loses the answers to the next writes, and those to later writes with a probability. An empty
   * kind stands for every kind; {@code hang} leaves the connections open instead of closing them.
   */
  synchronized void loseAnswers(long next, double probability, String kind, boolean hang) {
    answersToLose = next;
    lostAnswerProbability = probability;
    lostAnswerKind = kind;
    hangOnLostAnswer = hang;
  }

  synchronized OutageMode outage() {
    return outage;
  }

  synchronized OutageMode instanceOutage() {
    return instancesIncluded ? outage : OutageMode.NONE;
  }

  /**
   * Returns the delay of the next call of the object API in milliseconds, including the random
   * jitter.
   */
  synchronized long nextDelayMillis() {
    return delayMillis + (jitterMillis == 0 ? 0 : (long) (random.nextDouble() * jitterMillis));
  }

  /**
   * Takes a token of the rate limit for writes or reads.
   *
   * @return 0 if the call may proceed, otherwise the seconds after which to retry
   */
  long takeToken(boolean write) {
    RateLimit limit;
    synchronized (this) {
      limit = write ? writeLimit : readLimit;
    }
    return limit.takeToken();
  }

  /**
   * Returns whether to lose the answer to a write that took effect; reduces the number of next
   * answers to lose if this is one of them.
   */
  synchronized boolean consumeAnswerLoss(String kind) {
    if (!lostAnswerKind.isEmpty() && !lostAnswerKind.equals(kind)) {
      return false;
    }
    if (answersToLose > 0) {
      answersToLose--;
      return true;
    }
    return lostAnswerProbability > 0 && random.nextDouble() < lostAnswerProbability;
  }

  synchronized boolean hangsOnLostAnswer() {
    return hangOnLostAnswer;
  }
}
