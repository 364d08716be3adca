package org.sedgeroad.live;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.WorkState;
import org.sedgeroad.route.HedgePolicy;
import org.sedgeroad.route.RequestShape;

class LiveServiceTest {
  private final LiveFixture fixture = new LiveFixture(3);

  @Nested
  class WholeAnswers {
    /** Guards against a truncated stream that looks complete to the caller. */
    @Test
    void missingEndMarkerIsAnError() throws Exception {
      FakeSink sink =
          fixture.serve(
              new FakeEngine(
                  call -> call.answerStream("a").breakConnection(),
                  FakeEngine.ReceivedCall::breakConnection));
      assertTrue(!sink.ended && sink.failure != null);
      assertEquals(WorkState.UNKNOWN, sink.failure.workState());
    }

    /** Guards against events of an abandoned attempt in the answer of the next one. */
    @Test
    void lateEventsOfAnEarlierAttemptAreIgnored() throws Exception {
      FakeEngine.ReceivedCall[] first = new FakeEngine.ReceivedCall[1];
      FakeSink sink =
          fixture.serve(
              new FakeEngine(
                  call -> {
                    first[0] = call;
                    call.breakConnection();
                  },
                  call -> {
                    first[0].answerStream("late").end();
                    call.answerStream("right").end();
                  }));
      assertEquals("right", sink.text.toString());
      assertTrue(sink.ended);
    }
  }

  @Nested
  class NonIdempotent {
    /** Guards against a second run of a request that must not be run twice. */
    @Test
    void isNotSentAgainAfterABrokenConnection() throws Exception {
      FakeEngine engine = new FakeEngine(FakeEngine.ReceivedCall::breakConnection);
      FakeSink sink = fixture.withIdempotent(false).serve(engine);
      assertEquals(1, engine.receivedCalls.size());
      assertEquals(WorkState.UNKNOWN, sink.failure.workState());
    }

    /**
     * Guards against a retry after bytes were sent, even if the endpoint reports that it did not
     * run the request.
     */
    @Test
    void isNotSentAgainAfterADrainingAnswer() throws Exception {
      FakeEngine engine = new FakeEngine(call -> call.refuseConnection(true));
      FakeSink sink = fixture.withIdempotent(false).serve(engine);
      assertEquals(1, engine.receivedCalls.size());
      assertEquals(WorkState.NOT_RUN, sink.failure.workState());
    }

    /**
     * Guards against a failure although no byte was sent and another endpoint could serve the
     * request.
     */
    @Test
    void triesAnotherEndpointWhenTheConnectionWasRefused() throws Exception {
      FakeSink sink =
          fixture
              .withIdempotent(false)
              .serve(
                  new FakeEngine(
                      call -> call.refuseConnection(false), call -> call.answerStream("a").end()));
      assertTrue(sink.ended);
    }
  }

  @Nested
  class Idempotent {
    /**
     * Guards against a failure that is reported as not run although an endpoint may have started
     * the request.
     */
    @Test
    void notRunIsGivenOnlyIfNoEndpointCanHaveStarted() throws Exception {
      FakeSink refused =
          fixture.serve(
              new FakeEngine(
                  call -> call.refuseConnection(true),
                  call -> call.refuseConnection(false),
                  call -> call.refuseConnection(true)));
      assertEquals(WorkState.NOT_RUN, refused.failure.workState());
      FakeSink mixed =
          new LiveFixture(2)
              .serve(
                  new FakeEngine(
                      FakeEngine.ReceivedCall::breakConnection,
                      call -> call.refuseConnection(false)));
      assertEquals(WorkState.UNKNOWN, mixed.failure.workState());
    }

    /** Guards against a failure although another endpoint could serve the request. */
    @Test
    void isSentAgainElsewhere() throws Exception {
      FakeEngine engine =
          new FakeEngine(
              FakeEngine.ReceivedCall::breakConnection, call -> call.answerStream("a", "b").end());
      FakeSink sink = fixture.serve(engine);
      assertEquals("ab", sink.text.toString());
      assertTrue(
          !engine
              .receivedCalls
              .get(0)
              .call()
              .address()
              .equals(engine.receivedCalls.get(1).call().address()));
    }

    /** Guards against endless retries when the connection to every endpoint breaks. */
    @Test
    void endsAfterThreeBrokenAttempts() throws Exception {
      FakeEngine engine =
          new FakeEngine(
              FakeEngine.ReceivedCall::breakConnection,
              FakeEngine.ReceivedCall::breakConnection,
              FakeEngine.ReceivedCall::breakConnection);
      new LiveFixture(6).serve(engine);
      assertEquals(3, engine.receivedCalls.size());
    }
  }

  @Nested
  class BrokenStreams {
    /** Guards against repeated or lost text when the engine can resume the run. */
    @Test
    void areResumedAtTheSameEngine() throws Exception {
      FakeEngine engine =
          new FakeEngine(
              call -> call.answerStream("a", "b").breakConnection(),
              call -> call.answerStream("c").end());
      FakeSink sink = fixture.serve(engine);
      assertEquals("abc", sink.text.toString());
      FakeEngine.ReceivedCall resume = engine.receivedCalls.get(1);
      assertEquals("/v1/resume", resume.call().address().getPath());
      assertEquals("{\"request_id\":\"r-1\",\"offset\":2}", resume.body());
    }

    /** Guards against a mixture of two different answers. */
    @Test
    void areNotRestartedUnlessDeterministic() throws Exception {
      FakeEngine engine =
          new FakeEngine(
              call -> call.answerStream("a").breakConnection(),
              call -> call.refuseConnection(false),
              call -> call.answerStream("other").end());
      FakeSink sink = fixture.serve(engine);
      assertEquals(2, engine.receivedCalls.size());
      assertNotNull(sink.failure);
      assertEquals("a", sink.text.toString());
    }

    /** Guards against repeated text when the second run splits its text into different events. */
    @Test
    void areRestartedWithoutRepeatingText() throws Exception {
      FakeSink sink =
          fixture
              .withDeterministic()
              .serve(
                  new FakeEngine(
                      call -> call.answerStream("", "one ", "tw").breakConnection(),
                      call -> call.refuseConnection(false),
                      call -> call.answerStream("", "one", " two", " three").end()));
      assertEquals("one two three", sink.text.toString());
      assertTrue(sink.ended);
    }

    /**
     * Guards against joining the parts of two different answers when the engine is not
     * deterministic after all.
     */
    @Test
    void thatDifferAfterARestartEndWithAnError() throws Exception {
      FakeSink sink =
          fixture
              .withDeterministic()
              .serve(
                  new FakeEngine(
                      call -> call.answerStream("one").breakConnection(),
                      call -> call.refuseConnection(false),
                      call -> call.answerStream("xyz", "w").end()));
      assertEquals("one", sink.text.toString());
      assertNotNull(sink.failure);
    }
  }

  @Nested
  class Callers {
    /** Guards against a stream that continues after the caller has disconnected. */
    @Test
    void thatDisconnectCancelTheStream() {
      FakeEngine engine =
          new FakeEngine(
              call -> {
                call.answerStream("a");
                fixture.eventQueue.callerDisconnected();
              });
      assertThrows(IOException.class, () -> fixture.serve(engine));
      assertEquals(List.of("r-1"), engine.cancelled);
      assertEquals(0, fixture.inFlight());
    }

    /** Guards against attempts that are started after the request's deadline. */
    @Test
    void getAnErrorAtTheDeadline() throws Exception {
      FakeEngine engine = new FakeEngine();
      FakeSink sink = fixture.withDeadlineMillis(20).serve(engine);
      assertEquals(1, engine.receivedCalls.size());
      assertEquals(WorkState.UNKNOWN, sink.failure.workState());
      assertNull(sink.completeBody);
      assertEquals(0, fixture.inFlight());
    }
  }

  @Nested
  class Hedging {
    private int budget = 1;

    private void hedgeAfterMillis(long millis) {
      fixture.hedging =
          new HedgePolicy() {
            @Override
            public OptionalLong delayNanos(RequestShape request, long nowNanos) {
              return OptionalLong.of(millis * 1_000_000L);
            }

            @Override
            public boolean tryHedge() {
              return budget-- > 0;
            }

            @Override
            public void observeFirstEvent(RequestShape request, long elapsed, long nowNanos) {}
          };
    }

    /**
     * Guards against a mixture of the answers of two attempts, and against a losing attempt that is
     * not cancelled.
     */
    @Test
    void theFirstEventWinsAndTheLoserIsCancelled() throws Exception {
      hedgeAfterMillis(10);
      FakeEngine.ReceivedCall[] first = new FakeEngine.ReceivedCall[1];
      FakeEngine engine =
          new FakeEngine(
              call -> first[0] = call.answerHead("text/event-stream"),
              call -> {
                call.answerStream("second");
                first[0].answerStream("first").end();
                call.end();
              });
      FakeSink sink = fixture.serve(engine);
      assertEquals("second", sink.text.toString());
      assertTrue(sink.ended);
      assertEquals(List.of("r-1", "r-2"), engine.cancelled);
      assertEquals(0, fixture.inFlight());
    }

    /**
     * Guards against the failure of one attempt that ends the request while the other one is still
     * running.
     */
    @Test
    void aFailedAttemptDoesNotEndTheOtherOne() throws Exception {
      hedgeAfterMillis(10);
      FakeEngine.ReceivedCall[] first = new FakeEngine.ReceivedCall[1];
      FakeSink sink =
          fixture.serve(
              new FakeEngine(
                  call -> first[0] = call,
                  call -> {
                    call.breakConnection();
                    first[0].answerStream("first").end();
                  }));
      assertEquals("first", sink.text.toString());
    }

    /**
     * Guards against a second attempt of a request that must not be run twice, or beyond the
     * budget.
     */
    @Test
    void isNotDoneForNonIdempotentRequestsOrWithoutBudget() throws Exception {
      hedgeAfterMillis(1);
      FakeEngine engine = new FakeEngine();
      fixture.withIdempotent(false).withDeadlineMillis(30).serve(engine);
      budget = 0;
      fixture.withIdempotent(true).withDeadlineMillis(30).serve(engine);
      assertEquals(2, engine.receivedCalls.size());
    }
  }

  @Nested
  class Crashes {
    private final FakeEngine engine;

    Crashes() {
      Set<Integer> crashedPorts = new HashSet<>();
      Consumer<FakeEngine.ReceivedCall> crash =
          call -> {
            crashedPorts.add(call.call().address().getPort());
            call.breakConnection();
          };
      engine = new FakeEngine(crash, crash, crash, crash);
      engine.crashedPorts = crashedPorts;
    }

    /**
     * Guards against a request that crashes a third endpoint, and against reporting it as not run
     * after it may have been run.
     */
    @Test
    void endInAQuarantineAfterTwoEndpoints() throws Exception {
      FakeSink sink = fixture.serve(engine);
      assertEquals(2, engine.receivedCalls.size());
      assertEquals("quarantined", sink.failure.code());
      assertEquals(WorkState.UNKNOWN, sink.failure.workState());
      FakeSink again = fixture.serve(engine);
      assertEquals(2, engine.receivedCalls.size());
      assertEquals("quarantined", again.failure.code());
      assertEquals(WorkState.NOT_RUN, again.failure.workState());
      assertEquals(2, fixture.sentMessages.size());
    }

    /**
     * Guards against a broken connection that counts as a crash although the endpoint still
     * answers.
     */
    @Test
    void areNotSuspectedWhileTheEndpointAnswers() throws Exception {
      FakeEngine alive =
          new FakeEngine(
              FakeEngine.ReceivedCall::breakConnection, call -> call.answerStream("a").end());
      assertTrue(fixture.serve(alive).ended);
      assertEquals(List.of(), fixture.sentMessages);
    }
  }
}
