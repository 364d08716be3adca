package org.sedgeroad.live;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.WorkState;

class LiveServiceTest {
  private final LiveFixture fixture = new LiveFixture(3);

  @Nested
  class WholeAnswers {
    /** Guards against a truncated stream that looks whole. */
    @Test
    void missingEndMarkerIsAnError() throws Exception {
      FakeSink sink =
          fixture.serve(new FakeEngine(sent -> sent.stream("a").breaks(), FakeEngine.Sent::breaks));
      assertTrue(!sink.ended && sink.failure != null);
      assertEquals(WorkState.UNKNOWN, sink.failure.work());
    }

    /** Guards against events of a given-up attempt in the answer of the next one. */
    @Test
    void lateEventsOfAnEarlierAttemptAreIgnored() throws Exception {
      FakeEngine.Sent[] first = new FakeEngine.Sent[1];
      FakeSink sink =
          fixture.serve(
              new FakeEngine(
                  sent -> {
                    first[0] = sent;
                    sent.breaks();
                  },
                  sent -> {
                    first[0].stream("late").end();
                    sent.stream("right").end();
                  }));
      assertEquals("right", sink.text.toString());
      assertTrue(sink.ended);
    }
  }

  @Nested
  class NonIdempotent {
    /** Guards against a second run of work that must not be repeated. */
    @Test
    void isNotSentAgainAfterABrokenConnection() throws Exception {
      FakeEngine engine = new FakeEngine(FakeEngine.Sent::breaks);
      FakeSink sink = fixture.withIdempotent(false).serve(engine);
      assertEquals(1, engine.sent.size());
      assertEquals(WorkState.UNKNOWN, sink.failure.work());
    }

    /** Guards against a second sending after bytes went out, though the endpoint did not run it. */
    @Test
    void isNotSentAgainAfterADrainingAnswer() throws Exception {
      FakeEngine engine = new FakeEngine(sent -> sent.refuses(true));
      FakeSink sink = fixture.withIdempotent(false).serve(engine);
      assertEquals(1, engine.sent.size());
      assertEquals(WorkState.NOT_RUN, sink.failure.work());
    }

    /** Guards against a refusal where no byte was sent and another endpoint could serve. */
    @Test
    void triesAnotherEndpointWhenTheConnectionWasRefused() throws Exception {
      FakeSink sink =
          fixture
              .withIdempotent(false)
              .serve(new FakeEngine(sent -> sent.refuses(false), sent -> sent.stream("a").end()));
      assertTrue(sink.ended);
    }
  }

  @Nested
  class Idempotent {
    /** Guards against a refusal that says not-run after an endpoint may have started the work. */
    @Test
    void notRunIsGivenOnlyIfNoEndpointCanHaveStarted() throws Exception {
      FakeSink refused =
          fixture.serve(
              new FakeEngine(
                  sent -> sent.refuses(true),
                  sent -> sent.refuses(false),
                  sent -> sent.refuses(true)));
      assertEquals(WorkState.NOT_RUN, refused.failure.work());
      FakeSink mixed =
          new LiveFixture(2)
              .serve(new FakeEngine(FakeEngine.Sent::breaks, sent -> sent.refuses(false)));
      assertEquals(WorkState.UNKNOWN, mixed.failure.work());
    }

    /** Guards against an error where another endpoint could serve. */
    @Test
    void isSentAgainElsewhere() throws Exception {
      FakeEngine engine =
          new FakeEngine(FakeEngine.Sent::breaks, sent -> sent.stream("a", "b").end());
      FakeSink sink = fixture.serve(engine);
      assertEquals("ab", sink.text.toString());
      assertTrue(!engine.sent.get(0).call().address().equals(engine.sent.get(1).call().address()));
    }

    /** Guards against requests sent forever when each endpoint breaks. */
    @Test
    void endsAfterThreeBrokenAttempts() throws Exception {
      FakeEngine engine =
          new FakeEngine(FakeEngine.Sent::breaks, FakeEngine.Sent::breaks, FakeEngine.Sent::breaks);
      new LiveFixture(6).serve(engine);
      assertEquals(3, engine.sent.size());
    }
  }

  @Nested
  class BrokenStreams {
    /** Guards against repeated or lost text when the engine still has the run. */
    @Test
    void areResumedAtTheSameEngine() throws Exception {
      FakeEngine engine =
          new FakeEngine(sent -> sent.stream("a", "b").breaks(), sent -> sent.stream("c").end());
      FakeSink sink = fixture.serve(engine);
      assertEquals("abc", sink.text.toString());
      FakeEngine.Sent resume = engine.sent.get(1);
      assertEquals("/v1/resume", resume.call().address().getPath());
      assertEquals("{\"request_id\":\"r-1\",\"offset\":2}", resume.body());
    }

    /** Guards against a mixture of two different answers. */
    @Test
    void areNotRestartedUnlessDeterministic() throws Exception {
      FakeEngine engine =
          new FakeEngine(
              sent -> sent.stream("a").breaks(),
              sent -> sent.refuses(false),
              sent -> sent.stream("other").end());
      FakeSink sink = fixture.serve(engine);
      assertEquals(2, engine.sent.size());
      assertNotNull(sink.failure);
      assertEquals("a", sink.text.toString());
    }

    /** Guards against repeated text when the second run cuts its text differently. */
    @Test
    void areRestartedWithoutRepeatingText() throws Exception {
      FakeSink sink =
          fixture
              .withDeterministic()
              .serve(
                  new FakeEngine(
                      sent -> sent.stream("", "one ", "tw").breaks(),
                      sent -> sent.refuses(false),
                      sent -> sent.stream("", "one", " two", " three").end()));
      assertEquals("one two three", sink.text.toString());
      assertTrue(sink.ended);
    }

    /** Guards against joined halves of two answers when the engine is not deterministic. */
    @Test
    void thatDifferAfterARestartEndWithAnError() throws Exception {
      FakeSink sink =
          fixture
              .withDeterministic()
              .serve(
                  new FakeEngine(
                      sent -> sent.stream("one").breaks(),
                      sent -> sent.refuses(false),
                      sent -> sent.stream("xyz", "w").end()));
      assertEquals("one", sink.text.toString());
      assertNotNull(sink.failure);
    }
  }

  @Nested
  class Callers {
    /** Guards against a stream that runs on for a caller that is gone. */
    @Test
    void thatGoAwayCancelTheStream() {
      FakeEngine engine =
          new FakeEngine(
              sent -> {
                sent.stream("a");
                fixture.call.callerGone();
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
      assertEquals(1, engine.sent.size());
      assertEquals(WorkState.UNKNOWN, sink.failure.work());
      assertNull(sink.whole);
      assertEquals(0, fixture.inFlight());
    }
  }
}
