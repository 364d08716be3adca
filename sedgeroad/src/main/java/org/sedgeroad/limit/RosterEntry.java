package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Entry of an instance in the roster of a lease object.
 *
 * @param joined epoch in which it joined
 * @param adopted latest epoch that it has adopted
 */
record RosterEntry(long joined, long adopted) {
  static RosterEntry fromSpec(JsonNode node) {
    return new RosterEntry(
        node.path(LeaseFields.JOINED).asLong(), node.path(LeaseFields.ADOPTED).asLong());
  }
}
