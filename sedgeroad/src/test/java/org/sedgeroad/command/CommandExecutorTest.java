package org.sedgeroad.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.api.Authenticator;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.job.JobService;
import org.sedgeroad.limit.LimitKind;
import org.sedgeroad.limit.LimitValues;
import org.sedgeroad.limit.MemberLimits;
import org.sedgeroad.limit.VoteService;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.store.StoreWriter;

/**
 * Guards against statements that do harm when they are sent again, or when two operators change the
 * same object at the same time.
 */
class CommandExecutorTest {
  private final MemoryStore store = new MemoryStore();
  private final ConfigurationReplica replica = new ConfigurationReplica();
  private CommandExecutor executor;

  @BeforeEach
  void createExecutor() {
    StoreWriter writer = StoreWriter.of(store, "operator-side");
    VoteService votes =
        new VoteService(writer, () -> Optional.of(Map.of()), List.of("a"), MonotonicClock.SYSTEM);
    executor =
        new CommandExecutor(
            new CommandDependencies(
                writer,
                replica,
                JobService.of(writer),
                EndpointTable.of("here", MonotonicClock.SYSTEM),
                votes::vote,
                () -> Map.of("entry-1", 2L),
                List::of));
  }

  private CommandResult run(String text) {
    ParseResult parsed = StatementParser.parse(text);
    return executor.execute(((ParseResult.Parsed) parsed).statements().get(0));
  }

  private List<String> firstRow(String text) {
    CommandResult result = run(text);
    return assertInstanceOf(CommandResult.Done.class, result, result.toString())
        .table()
        .rows()
        .get(0);
  }

  private static LimitValues priority(long value) {
    return LimitValues.unlimited().with(LimitKind.PRIORITY, value);
  }

  @Test
  void supportsEveryKindOfStatement() {
    for (Class<?> type : Statement.class.getPermittedSubclasses()) {
      assertTrue(executor.supports(type), type.getSimpleName());
    }
  }

  @Nested
  class Members {
    @Test
    void storesNoKeyInPlaintext() {
      run("CREATE MEMBER m KEY 'secret'");
      String spec = store.find("members", "m").spec().toString();
      assertFalse(spec.contains("secret"));
      assertTrue(spec.contains(Authenticator.hashKey("secret")));
    }

    @Test
    void createIsIdempotentAndRefusesOtherKeys() {
      List<String> first = firstRow("CREATE MEMBER m KEY 'one'");
      assertEquals(first, firstRow("CREATE MEMBER m KEY 'one'"));
      CommandResult.Refused refused =
          assertInstanceOf(CommandResult.Refused.class, run("CREATE MEMBER m KEY 'two'"));
      assertTrue(refused.inForce().orElseThrow().contains("version 1"), refused.toString());
    }

    @Test
    void changeSucceedsAfterALostResponse() {
      run("CREATE MEMBER m KEY 'one'");
      store.loseNextResponse = true;
      assertEquals("2", firstRow("CHANGE MEMBER m ADD KEY 'two' IF VERSION 1").get(1));
      assertEquals("2", firstRow("CHANGE MEMBER m ADD KEY 'two' IF VERSION 1").get(1));
    }

    @Test
    void dropIsIdempotentAndKeepsANewerVersion() {
      run("CREATE MEMBER m KEY 'one'");
      run("CHANGE MEMBER m ADD KEY 'two'");
      assertInstanceOf(CommandResult.Refused.class, run("DROP MEMBER m IF VERSION 1"));
      store.loseNextResponse = true;
      firstRow("DROP MEMBER m IF VERSION 2");
      firstRow("DROP MEMBER m IF VERSION 2");
      assertNull(store.find("members", "m"));
    }
  }

  @Nested
  class Votes {
    @BeforeEach
    void createMember() {
      run("CREATE MEMBER m KEY 'one'");
      run("SET LIMIT priority OF MEMBER m TO 5");
    }

    @Test
    void conflictingVoteReportsTheLimitsInForce() {
      store.beforeWrite.add(() -> store.put("limits", "m", priority(9).toSpec()));
      CommandResult.Refused refused =
          assertInstanceOf(CommandResult.Refused.class, run("SET LIMIT priority OF MEMBER m TO 3"));
      assertTrue(
          refused.inForce().orElseThrow().contains("version 3: {\"priority\":9"),
          refused.toString());
    }

    @Test
    void repeatedVoteWritesNothing() {
      assertEquals(
          firstRow("SET LIMIT priority OF MEMBER m TO 5"),
          firstRow("SET LIMIT priority OF MEMBER m TO 5"));
      assertEquals(2, store.find("limits", "m").version());
    }

    @Test
    void keepsAConcurrentChangeOfAnotherLimit() {
      store.beforeWrite.add(
          () -> store.put("limits", "m", priority(5).with(LimitKind.BATCH_SHARE, 40).toSpec()));
      firstRow("SET LIMIT priority OF MEMBER m TO 3");
      assertEquals(
          priority(3).with(LimitKind.BATCH_SHARE, 40),
          MemberLimits.fromObject(store.find("limits", "m")).current());
    }

    @Test
    void showsWhichInstancesApplyTheLimits() {
      assertEquals(
          List.of("m", "2", "entry-1", "2", "yes"), firstRow("SHOW LIMITS OF MEMBER m IN FORCE"));
      firstRow("SET LIMIT priority OF MEMBER m TO 6");
      assertEquals("no", firstRow("SHOW LIMITS OF MEMBER m IN FORCE").get(4));
      assertEquals(
          List.of("m", "priority", "6", "3", "accepted"), firstRow("SHOW LIMITS OF MEMBER m"));
    }

    @Test
    void refusesOutOfRangeValuesAndUnknownMembers() {
      assertInstanceOf(CommandResult.Refused.class, run("SET LIMIT priority OF MEMBER m TO 10"));
      assertInstanceOf(
          CommandResult.Refused.class, run("SET LIMIT job-deadline OF MEMBER m TO 25:00"));
      assertInstanceOf(CommandResult.Refused.class, run("SET LIMIT priority OF MEMBER other TO 3"));
    }

    @Test
    void reportsAnUnavailableStore() {
      store.unavailable = true;
      assertInstanceOf(CommandResult.Unavailable.class, run("SET LIMIT priority OF MEMBER m TO 3"));
    }
  }
}
