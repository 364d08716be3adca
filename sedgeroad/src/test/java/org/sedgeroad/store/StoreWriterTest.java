package org.sedgeroad.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sedgeroad.store.FakeStore.Fault;

/** Guards against writes that are reported wrongly or made twice after an answer is lost. */
class StoreWriterTest {
  private static final String KIND = "jobs";

  private final FakeStore store = new FakeStore();
  private final StoreWriter writer = StoreWriter.of(store, "entry-1", () -> {});
  private final StoreWriter other = StoreWriter.of(store, "entry-2", () -> {});

  private static ObjectNode spec(int value) {
    return JsonNodeFactory.instance.objectNode().put("value", value);
  }

  private int stored() {
    return store.objects(KIND).get(0).spec().path("value").asInt();
  }

  @Nested
  class Create {
    @ParameterizedTest
    @EnumSource(names = {"LOST_ANSWER", "LOST_REQUEST"})
    void reportsAWriteWithALostAnswerAsWritten(Fault fault) {
      store.failNext("create", KIND, fault, 1);
      assertInstanceOf(WriteOutcome.Written.class, writer.create(KIND, "a", spec(1)));
    }

    @Test
    void returnsTheExistingObject() {
      other.create(KIND, "a", spec(2));
      WriteOutcome.Lost lost =
          assertInstanceOf(WriteOutcome.Lost.class, writer.create(KIND, "a", spec(1)));
      assertEquals(2, lost.current().spec().path("value").asInt());
    }

    @ParameterizedTest
    @EnumSource(names = {"OUTAGE", "THROTTLED"})
    void reportsARefusedWriteAsNotWritten(Fault fault) {
      store.failNext("create", KIND, fault, 1);
      assertInstanceOf(WriteOutcome.NotWritten.class, writer.create(KIND, "a", spec(1)));
      assertEquals(0, store.objects(KIND).size());
    }
  }

  @Nested
  class Update {
    private final long version =
        assertInstanceOf(WriteOutcome.Written.class, other.create(KIND, "a", spec(0)))
            .object()
            .version();

    @Test
    void reportsAWriteWithALostAnswerAsWritten() {
      store.failNext("update", KIND, Fault.LOST_ANSWER, 1);
      assertInstanceOf(WriteOutcome.Written.class, writer.update(KIND, "a", version, spec(1)));
      assertEquals(1, stored());
    }

    @Test
    void losesToAnotherWriterEvenIfItsOwnAnswerIsLost() {
      other.update(KIND, "a", version, spec(5));
      store.failNext("update", KIND, Fault.LOST_ANSWER, 1);
      assertInstanceOf(WriteOutcome.Lost.class, writer.update(KIND, "a", version, spec(1)));
      assertEquals(5, stored());
    }

    @Test
    void isUnknownIfTheStoreFailsAfterALostAnswer() {
      boolean[] answerLost = {false};
      store.faults =
          (operation, kind) -> {
            Fault fault = answerLost[0] ? Fault.OUTAGE : Fault.LOST_ANSWER;
            answerLost[0] = true;
            return fault;
          };
      assertInstanceOf(WriteOutcome.Unknown.class, writer.update(KIND, "a", version, spec(1)));
    }
  }
}
