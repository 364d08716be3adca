package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Entry of an instance in the roster of a lease object, which lists the instances that may own
 * token buckets.
 *
 * @param joined epoch (number of changes of the roster) in which the instance joined
 * @param adopted latest epoch that the instance has adopted
 */
record RosterEntry(long joined, long adopted) {
  static RosterEntry fromSpec(JsonNode node) {
    return new RosterEntry(
        node.path(LeaseFields.JOINED).asLong(), node.path(LeaseFields.ADOPTED).asLong());
  }
}
