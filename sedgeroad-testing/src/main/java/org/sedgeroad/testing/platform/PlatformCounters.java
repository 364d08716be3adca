package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.LongAdder;
import org.sedgeroad.testing.http.Answers;

/** Counters of the calls to the stand-in since its start. Thread-safe. */
final class PlatformCounters {
  final LongAdder reads = new LongAdder();
  final LongAdder writes = new LongAdder();
  final LongAdder watches = new LongAdder();
  final LongAdder watchesOpen = new LongAdder();
  final LongAdder watchEvents = new LongAdder();
  final LongAdder instanceReads = new LongAdder();
  final LongAdder conflicts = new LongAdder();
  final LongAdder throttled = new LongAdder();
  final LongAdder unavailable = new LongAdder();
  final LongAdder answersLost = new LongAdder();
  final LongAdder bytesIn = new LongAdder();
  final LongAdder bytesOut = new LongAdder();

  ObjectNode toJson() {
    ObjectNode node = Answers.MAPPER.createObjectNode();
    node.put("reads", reads.sum());
    node.put("writes", writes.sum());
    node.put("watches", watches.sum());
    node.put("watches_open", watchesOpen.sum());
    node.put("watch_events", watchEvents.sum());
    node.put("instance_reads", instanceReads.sum());
    node.put("conflicts", conflicts.sum());
    node.put("throttled", throttled.sum());
    node.put("unavailable", unavailable.sum());
    node.put("answers_lost", answersLost.sum());
    node.put("bytes_in", bytesIn.sum());
    node.put("bytes_out", bytesOut.sum());
    return node;
  }
}
