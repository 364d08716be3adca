package org.sedgeroad.command;

import static org.sedgeroad.command.Tokens.keywords;
import static org.sedgeroad.command.Tokens.symbol;
import static org.sedgeroad.command.Tokens.value;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.UnaryOperator;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.error.ParseErrorDetails;
import org.jparsec.error.ParserException;
import org.sedgeroad.command.Statement.KeyChange;
import org.sedgeroad.command.Statement.ListTarget;
import org.sedgeroad.job.ItemState;
import org.sedgeroad.job.JobState;
import org.sedgeroad.limit.LimitKind;

/** Parses the operators' statement language, whose grammar docs/COMMANDS.md describes. */
public final class StatementParser {
  private static final int DEFAULT_JOB_ROWS = 100;
  private static final int DEFAULT_ITEM_ROWS = 50;
  private static final int MAX_ROWS = 1_000;
  private static final String DEFAULT_PATH = "/v1/completions";
  private static final String DEFAULT_WINDOW = "24h";

  private static final Parser<String> MEMBER = value("a member name");
  private static final Parser<String> MODEL = value("a model name");
  private static final Parser<String> JOB = value("a job id");
  private static final Parser<String> ENDPOINT = value("an endpoint name");
  private static final Parser<List<String>> KEYS =
      keywords("KEYS").or(keywords("KEY").cast()).next(value("a key").sepBy1(symbol(",")));
  private static final Parser<OptionalLong> VERSION =
      keywords("IF VERSION")
          .next(value("a version number", StatementParser::wholeNumber))
          .map(OptionalLong::of)
          .optional(OptionalLong.empty());
  private static final Parser<Optional<String>> OF_MEMBER =
      keywords("OF MEMBER").next(MEMBER).asOptional();
  private static final Parser<ModelOptions> OPTIONS = options();
  private static final Parser<List<Statement>> STATEMENTS = Tokens.tokenized(statements());

  private StatementParser() {}

  /** Parses one or more statements that are separated by semicolons. */
  public static ParseResult parse(String text) {
    try {
      return new ParseResult.Parsed(STATEMENTS.parse(text));
    } catch (ParserException failure) {
      return new ParseResult.Invalid(failure.getLine(), failure.getColumn(), describe(failure));
    }
  }

  private static String describe(ParserException failure) {
    ParseErrorDetails details = failure.getErrorDetails();
    if (details == null) {
      return String.valueOf(failure.getMessage());
    }
    List<String> expected =
        details.getExpected().stream()
            .map(word -> word.equals("EOF") ? "';' or the end" : word)
            .distinct()
            .sorted()
            .toList();
    String found = "EOF".equals(details.getEncountered()) ? "the end" : details.getEncountered();
    return expected.isEmpty()
        ? "unexpected " + found
        : "expected " + String.join(" or ", expected) + ", found " + found;
  }

  private static Parser<List<Statement>> statements() {
    Parser<Statement> statement =
        Parsers.or(
            keywords("CREATE").next(create()),
            keywords("CHANGE").next(change()),
            keywords("DROP").next(drop()),
            keywords("SHOW").next(show()),
            keywords("SET LIMIT").next(setLimit()),
            keywords("SUBMIT JOB").next(submit()),
            keywords("CANCEL JOB").next(JOB).map(Statement.CancelJob::new),
            keywords("LIFT QUARANTINE")
                .next(value("a fingerprint"))
                .map(Statement.LiftQuarantine::new),
            keywords("DRAIN").next(drain(true)),
            keywords("UNDRAIN").next(drain(false)),
            keywords("ORDER ENDPOINT").next(order()));
    return symbol(";").skipMany().next(statement.sepEndBy1(symbol(";").skipMany1()));
  }

  private static Parser<Statement> create() {
    return Parsers.or(
        Parsers.sequence(keywords("MEMBER").next(MEMBER), KEYS, Statement.CreateMember::new),
        Parsers.sequence(keywords("MODEL").next(MODEL), OPTIONS, Statement.CreateModel::new));
  }

  private static Parser<Statement> change() {
    Parser<KeyChange> change =
        Parsers.or(
            keywords("ADD").retn(KeyChange.ADD),
            keywords("REMOVE").retn(KeyChange.REMOVE),
            keywords("SET").retn(KeyChange.REPLACE));
    return Parsers.or(
        Parsers.sequence(
            keywords("MEMBER").next(MEMBER), change, KEYS, VERSION, Statement.ChangeMember::new),
        Parsers.sequence(
            keywords("MODEL").next(MODEL), OPTIONS, VERSION, Statement.ChangeModel::new));
  }

  private static Parser<Statement> drop() {
    return Parsers.or(
        Parsers.sequence(keywords("MEMBER").next(MEMBER), VERSION, Statement.DropMember::new),
        Parsers.sequence(keywords("MODEL").next(MODEL), VERSION, Statement.DropModel::new));
  }

  private static Parser<ModelOptions> options() {
    Parser<Boolean> onOff = keywords("ON").retn(true).or(keywords("OFF").retn(false));
    Parser<UnaryOperator<ModelOptions>> option =
        Parsers.or(
            keywords("SERVICE")
                .next(value("a service name"))
                .map(name -> options -> options.withService(name)),
            keywords("PATH")
                .next(value("a path prefix '/…'", StatementParser::path))
                .map(path -> options -> options.withPath(path)),
            keywords("SLOTS").next(count(4_096)).map(count -> options -> options.withSlots(count)),
            keywords("FENCING").next(onOff).map(on -> options -> options.withFencing(on)));
    return option
        .many1()
        .map(
            changes -> {
              ModelOptions options = ModelOptions.NONE;
              for (UnaryOperator<ModelOptions> change : changes) {
                options = change.apply(options);
              }
              return options;
            });
  }

  private static Parser<Statement> show() {
    Parser<Statement> limits =
        keywords("LIMITS")
            .next(
                Parsers.sequence(
                    OF_MEMBER,
                    keywords("IN FORCE").asOptional(),
                    (member, inForce) -> new Statement.ShowLimits(member, inForce.isPresent())));
    Parser<Statement> endpoints =
        keywords("ENDPOINTS")
            .next(keywords("OF SERVICE").next(value("a service name")).asOptional())
            .map(Statement.ShowEndpoints::new);
    return Parsers.or(
        keywords("MEMBER").next(MEMBER).map(Statement.ShowMember::new),
        keywords("MODEL").next(MODEL).map(Statement.ShowModel::new),
        list(ListTarget.MEMBERS),
        list(ListTarget.MODELS),
        list(ListTarget.QUARANTINES),
        list(ListTarget.INSTANCES),
        list(ListTarget.ORDERS),
        limits,
        endpoints,
        showJobs());
  }

  private static Parser<Statement> showJobs() {
    return Parsers.or(
        Parsers.sequence(
            keywords("JOBS").next(OF_MEMBER),
            keywords("WHERE STATE")
                .next(symbol("="))
                .next(Tokens.enumConstant(JobState.class))
                .asOptional(),
            limit(DEFAULT_JOB_ROWS),
            Statement.ShowJobs::new),
        Parsers.sequence(
            keywords("JOB").next(JOB),
            keywords("WAIT").asOptional(),
            (job, await) -> new Statement.ShowJob(job, await.isPresent())),
        Parsers.sequence(
            keywords("ITEMS OF JOB").next(JOB),
            keywords("WHERE STATE")
                .next(symbol("="))
                .next(Tokens.enumConstant(ItemState.class))
                .asOptional(),
            limit(DEFAULT_ITEM_ROWS),
            keywords("AFTER")
                .next(value("an item SEGMENT.INDEX", StatementParser::position))
                .asOptional(),
            Statement.ShowItems::new));
  }

  private static Parser<Statement> list(ListTarget target) {
    return keywords(target.name()).retn(new Statement.ShowList(target));
  }

  private static Parser<Statement> setLimit() {
    return Parsers.sequence(
        Tokens.enumConstant(LimitKind.class),
        keywords("OF MEMBER").next(MEMBER),
        keywords("TO").next(value("a value")),
        VERSION,
        Statement.SetLimit::new);
  }

  private static Parser<Statement> submit() {
    return Parsers.sequence(
        keywords("FILE").next(value("a file id")),
        keywords("OF MEMBER").next(MEMBER),
        keywords("PATH").next(value("an API path", StatementParser::path)).optional(DEFAULT_PATH),
        keywords("WINDOW")
            .next(value("a window such as 90m, 24h or 7d", StatementParser::window))
            .optional(DEFAULT_WINDOW),
        keywords("KEY").next(value("an idempotency key")).optional(""),
        Statement.SubmitJob::new);
  }

  private static Parser<Statement> drain(boolean drained) {
    Parser<Statement.DrainTarget> target =
        Parsers.or(
            keywords("ENDPOINT").retn(Statement.DrainTarget.ENDPOINT),
            keywords("INSTANCE").retn(Statement.DrainTarget.INSTANCE));
    return Parsers.sequence(
        target, value("a name"), (kind, name) -> new Statement.Drain(kind, name, drained));
  }

  private static Parser<Statement> order() {
    return Parsers.sequence(
        ENDPOINT, keywords("TO LOAD MODEL").next(MODEL), VERSION, Statement.OrderLoad::new);
  }

  private static Parser<Integer> limit(int defaultRows) {
    return keywords("LIMIT").next(count(MAX_ROWS)).optional(defaultRows);
  }

  private static Parser<Integer> count(int max) {
    return value(
        "a whole number from 1 to " + max,
        text -> {
          Long number = wholeNumber(text);
          return number == null || number < 1 || number > max ? null : number.intValue();
        });
  }

  private static Long wholeNumber(String text) {
    return text.matches("[0-9]{1,18}") ? Long.valueOf(text) : null;
  }

  private static String path(String text) {
    return text.matches("/[^\\s?#]*") ? text : null;
  }

  private static String window(String text) {
    return text.matches("[1-9][0-9]{0,3}[mhd]") ? text : null;
  }

  private static ItemPosition position(String text) {
    return text.matches("[0-9]{1,6}\\.[0-9]{1,4}") ? ItemPosition.parse(text) : null;
  }
}
