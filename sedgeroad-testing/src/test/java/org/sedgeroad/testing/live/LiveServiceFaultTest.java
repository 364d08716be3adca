package org.sedgeroad.testing.live;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.WorkState;
import org.sedgeroad.testing.engine.AnswerText;
import org.sedgeroad.testing.engine.EngineEvent;
import org.sedgeroad.testing.engine.EngineOptions;
import org.sedgeroad.testing.engine.EngineStandIn;
import org.sedgeroad.testing.engine.GenerationRequest;
import org.sedgeroad.testing.proxy.FaultProxy;

/** Tests live requests over real connections to engines that fail. */
class LiveServiceFaultTest {
  private final List<AutoCloseable> opened = new ArrayList<>();
  private final List<EngineStandIn> engines = new ArrayList<>();

  private URI engine(EngineOptions options) {
    EngineStandIn engine = EngineStandIn.start(options);
    opened.add(engine);
    engines.add(engine);
    return engine.address();
  }

  private LiveEntry entry(List<URI> addresses) {
    LiveEntry entry = new LiveEntry("least-cost", "none", 4, addresses);
    opened.add(entry);
    return entry;
  }

  private long count(EngineEvent.Type type) {
    return engines.stream()
        .flatMap(engine -> engine.history(0).stream())
        .filter(event -> event.type() == type)
        .count();
  }

  @AfterEach
  void close() throws Exception {
    for (int index = opened.size() - 1; index >= 0; index--) {
      opened.get(index).close();
    }
  }

  @Nested
  class BrokenConnections {
    /** Guards against lost or duplicate text, and against a second run, if a connection breaks. */
    @Test
    void areRecoveredByResumingTheRun() throws Exception {
      FaultProxy proxy = FaultProxy.start(engine(EngineOptions.DEFAULTS));
      opened.add(proxy);
      RecordingSink sink = new RecordingSink();
      int[] events = {0};
      sink.onEvent =
          () -> {
            if (++events[0] == 10) {
              // Ending a black hole closes the open connections; new ones are accepted at once.
              proxy.setBlackHole(true);
              proxy.setBlackHole(false);
            }
          };
      entry(List.of(proxy.address())).serve("hello", 40, sink);
      assertEquals(AnswerText.of("hello", 40), sink.text.toString());
      assertTrue(sink.ended);
    }
  }

  @Nested
  class CrashingRequests {
    /**
     * Guards against a request that crashes more than two endpoints when it is sent five times, and
     * against ten harmless requests that fail beside it or are refused afterwards.
     */
    @Test
    void areQuarantinedAloneAfterTwoEndpoints() throws Exception {
      LiveEntry entry =
          entry(IntStream.range(0, 4).mapToObj(index -> engine(EngineOptions.DEFAULTS)).toList());
      ExecutorService callers = Executors.newFixedThreadPool(10);
      List<Future<RecordingSink>> harmless = new ArrayList<>();
      for (int index = 0; index < 10; index++) {
        String prompt = "innocent " + index;
        harmless.add(callers.submit(() -> entry.serve(prompt, 200, new RecordingSink())));
      }
      Thread.sleep(100);
      String crash = GenerationRequest.CRASH_MARK;
      RecordingSink first = entry.serve(crash, 10, new RecordingSink());
      assertEquals(WorkState.UNKNOWN, first.failure.workState());
      for (int index = 0; index < 4; index++) {
        RecordingSink again = entry.serve(crash, 10, new RecordingSink());
        assertEquals("quarantined", again.failure.code());
        assertEquals(WorkState.NOT_RUN, again.failure.workState());
      }
      for (int index = 0; index < 10; index++) {
        assertEquals(
            AnswerText.of("innocent " + index, 200), harmless.get(index).get().text.toString());
        assertTrue(entry.serve("innocent " + index, 5, new RecordingSink()).ended);
      }
      callers.shutdownNow();
      assertEquals(2, count(EngineEvent.Type.CRASH));
    }
  }
}
