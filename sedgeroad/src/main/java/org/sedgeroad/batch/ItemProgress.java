package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.gateway.EventStreamParser;

/** Received part of an item's output. Must be used on the event loop. */
final class ItemProgress {
  private final List<String> output = new ArrayList<>();
  private String lastEventId = "";

  /** Adds an event to the output. Events without an id are ignored. */
  void add(EventStreamParser.Event event) {
    if (!event.id().isEmpty()) {
      lastEventId = event.id();
      output.add(event.data());
    }
  }

  String lastEventId() {
    return lastEventId;
  }

  int eventCount() {
    return output.size();
  }

  String toOutput() {
    return String.join("\n", output);
  }
}
