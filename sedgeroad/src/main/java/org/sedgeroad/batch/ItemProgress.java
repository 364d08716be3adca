package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.gateway.EndpointAnswer;
import org.sedgeroad.gateway.EventStreamParser;

/** Received part of an item's output. Must be used on the event loop. */
final class ItemProgress {
  private final List<String> output = new ArrayList<>();
  private String lastEventId = "";
  private long outputBytes;
  private EndpointAnswer begun;

  /** Adds an event to the output. Events without an id are ignored. */
  void add(EventStreamParser.Event event) {
    if (!event.id().isEmpty()) {
      lastEventId = event.id();
      output.add(event.data());
      outputBytes += JsonSize.of(event.data());
    }
  }

  /**
   * Returns whether an answer can continue the output: it is of the same media type as the one that
   * began it. The first answer begins it.
   */
  boolean canContinue(EndpointAnswer answer) {
    if (output.isEmpty()) {
      begun = answer;
    }
    return answer.canContinue(begun);
  }

  String lastEventId() {
    return lastEventId;
  }

  int eventCount() {
    return output.size();
  }

  /** Returns the size of the output as a JSON string, in bytes, or a little more. */
  long outputBytes() {
    return outputBytes;
  }

  /** Discards the output, so that the next run begins anew. */
  void clear() {
    output.clear();
    outputBytes = 0;
    lastEventId = "";
  }

  String toOutput() {
    return String.join("\n", output);
  }
}
