package org.sedgeroad.testing.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.testing.http.Answers;

/** Registry of the orders that an engine has accepted. Thread-safe. */
final class OrderRegistry {
  private final boolean checkFencing;
  private final List<ObjectNode> accepted = new ArrayList<>();
  private long highestFencingNumber;

  OrderRegistry(boolean checkFencing) {
    this.checkFencing = checkFencing;
  }

  /**
   * Accepts an order unless fencing numbers are checked and a higher one has been accepted before.
   *
   * @return whether the order was accepted
   */
  synchronized boolean accept(long fencingNumber, ObjectNode order) {
    if (checkFencing && fencingNumber < highestFencingNumber) {
      return false;
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    accepted.add(order);
    return true;
  }

  synchronized ObjectNode toJson() {
    ObjectNode root = Answers.MAPPER.createObjectNode();
    root.put("highest_fencing_number", highestFencingNumber);
    root.putArray("orders").addAll(accepted);
    return root;
  }

  synchronized long highestFencingNumber() {
    return highestFencingNumber;
  }
}
