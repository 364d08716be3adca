package org.sedgeroad.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sedgeroad.job.ItemState;
import org.sedgeroad.limit.LimitKind;

/** Guards against statements that are parsed as something else than the operator meant. */
class StatementParserTest {
  private static Statement parseOne(String text) {
    ParseResult result = StatementParser.parse(text);
    assertInstanceOf(ParseResult.Parsed.class, result, () -> text + ": " + result);
    List<Statement> statements = ((ParseResult.Parsed) result).statements();
    assertEquals(1, statements.size());
    return statements.get(0);
  }

  private static List<String> examples() throws IOException {
    List<String> examples = new ArrayList<>();
    boolean inStatementBlock = false;
    for (String line : Files.readAllLines(Path.of("../docs/COMMANDS.md"))) {
      if (line.startsWith("```")) {
        inStatementBlock = line.equals("```statement");
      } else if (inStatementBlock) {
        examples.add(line);
      }
    }
    return examples;
  }

  @Nested
  class Parse {
    @Test
    void parsesCaseInsensitiveKeywordsAndQuotedNames() {
      assertEquals(
          new Statement.SetLimit(LimitKind.BATCH_SHARE, "it's mine", "60", OptionalLong.of(1407)),
          parseOne(
              "set Limit BATCH-share of member 'it''s mine' -- note\n to 60 if version 1407;"));
    }

    @Test
    void acceptsKeywordsAsNames() {
      assertEquals(
          new Statement.CreateMember("member", List.of("key", "keys")),
          parseOne("CREATE MEMBER member KEYS key, 'keys'"));
    }

    @Test
    void parsesEveryClauseOfShowItems() {
      assertEquals(
          new Statement.ShowItems(
              "batch_1",
              Optional.of(ItemState.OUTCOME_UNKNOWN),
              7,
              Optional.of(new ItemPosition(41, 255))),
          parseOne("SHOW ITEMS OF JOB batch_1 WHERE STATE = outcome-unknown LIMIT 7 AFTER 41.255"));
    }

    @Test
    void parsesSeveralStatementsAndEmptyOnes() {
      ParseResult result = StatementParser.parse(";SHOW MEMBERS;\n\nSHOW MODELS;;");
      assertEquals(2, ((ParseResult.Parsed) result).statements().size());
    }

    /** Guards against error positions that point to a valid part of the text. */
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "SHOW MEMBRS | 1 | 6 | MEMBERS",
          "SHOW MEMBERS;\\n  DROP JOB x | 2 | 8 | MEMBER",
          "SET LIMIT speed OF MEMBER m TO 1 | 1 | 11 | one of batch-share",
          "SHOW ITEMS OF JOB j LIMIT 0 | 1 | 27 | a whole number from 1 to 1000",
          "DROP MEMBER m IF 7 | 1 | 18 | VERSION",
          "SHOW MEMBERS SHOW MODELS | 1 | 14 | ;",
          "CREATE MEMBER m KEY 'open | 1 | 21 | without closing quote",
          "SHOW | 1 | 5 | MEMBERS",
        })
    void reportsLineColumnAndExpectation(String text, int line, int column, String expected) {
      ParseResult result = StatementParser.parse(text.replace("\\n", "\n"));
      ParseResult.Invalid invalid = assertInstanceOf(ParseResult.Invalid.class, result);
      assertEquals(line + ":" + column, invalid.line() + ":" + invalid.column(), invalid.message());
      assertTrue(invalid.message().contains(expected), invalid.message());
    }
  }

  /** Guards against invalid or missing examples of statements in docs/COMMANDS.md. */
  @Nested
  class CommandsPage {
    @Test
    void showsOnlyValidStatements() throws IOException {
      for (String example : examples()) {
        parseOne(example);
      }
    }

    @Test
    void showsEveryKindOfStatement() throws IOException {
      Set<Class<?>> shown =
          examples().stream()
              .map(example -> parseOne(example).getClass())
              .collect(Collectors.toSet());
      assertEquals(
          Stream.of(Statement.class.getPermittedSubclasses()).collect(Collectors.toSet()), shown);
    }

    @Test
    void showsEveryKindOfList() throws IOException {
      List<Statement> shown = examples().stream().map(StatementParserTest::parseOne).toList();
      for (Statement.ListTarget target : Statement.ListTarget.values()) {
        assertTrue(shown.contains(new Statement.ShowList(target)), target.name());
      }
    }
  }
}
