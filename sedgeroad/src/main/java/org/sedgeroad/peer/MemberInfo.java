package org.sedgeroad.peer;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The state of one instance as it spreads by gossip. A higher incarnation, and for the same
 * incarnation a higher sequence, replaces a lower one.
 *
 * @param instance name of the instance
 * @param address peer address, {@code IP:PORT}
 * @param domain failure domain
 * @param incarnation start time of the process in milliseconds since 1970; raised by the instance
 *     if its peers still hold the state of an earlier process that would take precedence
 * @param sequence number of gossip rounds that the instance has run
 * @param leaving whether the instance has announced that it is leaving
 */
public record MemberInfo(
    String instance,
    String address,
    String domain,
    long incarnation,
    long sequence,
    boolean leaving) {
  private static final int SEQUENCE_MASK = 0xffff;

  /** Returns a 32-bit hash of name and incarnation that identifies the instance in a heartbeat. */
  public int key() {
    return (int) Hashing.komihash5_0().hashCharsToLong(instance + "\u0000" + incarnation);
  }

  /** Returns the low 16 bits of the sequence. */
  int shortSequence() {
    return (int) (sequence & SEQUENCE_MASK);
  }

  /**
   * Returns by how much a short sequence is ahead of this one, modulo 2^16; 0 or less if it is not.
   */
  int distanceTo(int shortSequence) {
    return (short) (shortSequence - shortSequence());
  }

  /** Returns whether this state replaces another state of the same instance. */
  boolean isNewerThan(MemberInfo other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : sequence > other.sequence;
  }

  MemberInfo withSequence(long value) {
    return new MemberInfo(instance, address, domain, incarnation, value, leaving);
  }

  MemberInfo withIncarnation(long value) {
    return new MemberInfo(instance, address, domain, value, sequence, leaving);
  }

  MemberInfo withLeaving() {
    return new MemberInfo(instance, address, domain, incarnation, sequence, true);
  }
}
