package org.sedgeroad.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;

class VoteServiceTest {
  private static final LimitKind KIND = LimitKind.REQUESTS_PER_SECOND;

  private final SimulatedStore store = new SimulatedStore();
  private final Map<String, DomainRecord> records = new TreeMap<>();
  private final AtomicLong now = new AtomicLong();
  // Each reading advances by a second, so that waits for confirmations take little real time.
  private final MonotonicClock clock = () -> now.addAndGet(1_000_000_000L);

  private VoteService service(String writer) {
    return new VoteService(
        StoreWriter.of(store, writer),
        () -> Optional.of(Map.copyOf(records)),
        List.of("a", "b"),
        clock);
  }

  private long first(long value) {
    var result = service("first").vote("quetzal", KIND, value, OptionalLong.of(0));
    return assertInstanceOf(VoteResult.Accepted.class, result).version();
  }

  private long stored() {
    var read = (StoreResult.Done<StoredObject>) store.get(Kinds.LIMITS, "quetzal");
    return MemberLimits.fromObject(read.value()).current().value(KIND).getAsLong();
  }

  @Nested
  class Race {

    /** Guards against two operators who both receive the answer that their vote is in force. */
    @Test
    void oneVoteWinsAndTheOtherReportsTheWinner() {
      first(100);
      VoteResult[] winner = new VoteResult[1];
      store.beforeNextWrite(() -> winner[0] = service("winner").vote("quetzal", KIND, 80));
      VoteResult loser = service("loser").vote("quetzal", KIND, 90);

      long version = assertInstanceOf(VoteResult.Accepted.class, winner[0]).version();
      var conflict = assertInstanceOf(VoteResult.Conflict.class, loser);
      assertEquals(version, conflict.version());
      assertEquals(80, conflict.values().value(KIND).getAsLong());
    }

    /** Guards against a vote on an outdated version that overwrites a later vote. */
    @Test
    void voteOnAnOldBaseLoses() {
      long base = first(100);
      service("other").vote("quetzal", KIND, 80);
      var result = service("late").vote("quetzal", KIND, 90, OptionalLong.of(base));
      assertInstanceOf(VoteResult.Conflict.class, result);
      assertEquals(80, stored());
    }

    /** Guards against a conflict, or a second version, when a vote is repeated. */
    @Test
    void voteSentAgainIsAccepted() {
      long base = first(100);
      var once = service("one").vote("quetzal", KIND, 80, OptionalLong.of(base));
      var again = service("two").vote("quetzal", KIND, 80, OptionalLong.of(base));
      assertEquals(once, again);
    }
  }

  @Nested
  class Lowering {

    /** Guards against an accepted limit that a cut-off failure domain exceeds. */
    @Test
    void refusedWhileACutOffDomainMayUseMore() {
      long base = first(100);
      records.put("a", new DomainRecord(Long.MAX_VALUE, base, base, Long.MAX_VALUE, false));
      records.put("b", new DomainRecord(base, base, base, Long.MAX_VALUE, true));
      var result = service("low").vote("quetzal", KIND, 29);
      assertEquals(List.of("b"), assertInstanceOf(VoteResult.Refused.class, result).domains());
      assertEquals(100, stored());
    }

    /** Guards against a refusal although the isolated share of a cut-off domain fits the limit. */
    @Test
    void acceptedWhenTheIsolatedShareFits() {
      long base = first(100);
      records.put("a", new DomainRecord(Long.MAX_VALUE, base, base, Long.MAX_VALUE, false));
      records.put("b", new DomainRecord(base, base, base, Long.MAX_VALUE, true));
      assertInstanceOf(VoteResult.Accepted.class, service("low").vote("quetzal", KIND, 30));
      assertEquals(30, stored());
    }
  }
}
