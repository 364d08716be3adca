package org.sedgeroad.command;

import static org.sedgeroad.command.Words.phrase;
import static org.sedgeroad.command.Words.sign;
import static org.sedgeroad.command.Words.value;

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

/** Parser of the operators' language. Immutable. */
public final class StatementParser {
  private static final int DEFAULT_JOBS = 100;
  private static final int DEFAULT_ITEMS = 50;
  private static final int MOST_ROWS = 1_000;
  private static final String DEFAULT_PATH = "/v1/completions";
  private static final String DEFAULT_WINDOW = "24h";

  private static final Parser<String> MEMBER = value("a member name");
  private static final Parser<String> MODEL = value("a model name");
  private static final Parser<String> JOB = value("a job id");
  private static final Parser<String> ENDPOINT = value("an endpoint name");
  private static final Parser<List<String>> KEYS =
      phrase("KEYS").or(phrase("KEY").cast()).next(value("a key").sepBy1(sign(",")));
  private static final Parser<OptionalLong> VERSION =
      phrase("IF VERSION")
          .next(value("a version number", StatementParser::version))
          .map(OptionalLong::of)
          .optional(OptionalLong.empty());
  private static final Parser<Optional<String>> OF_MEMBER =
      phrase("OF MEMBER").next(MEMBER).asOptional();
  private static final Parser<ModelOptions> OPTIONS = options();
  private static final Parser<List<Statement>> STATEMENTS = Words.over(statements());

  private StatementParser() {}

  /** Parses statements separated by semicolons. */
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

  // -----------------------------------------------------------------------

  private static Parser<List<Statement>> statements() {
    Parser<Statement> statement =
        Parsers.or(
            phrase("CREATE").next(create()),
            phrase("CHANGE").next(change()),
            phrase("DROP").next(drop()),
            phrase("SHOW").next(show()),
            phrase("SET LIMIT").next(setLimit()),
            phrase("SUBMIT JOB").next(submit()),
            phrase("CANCEL JOB").next(JOB).map(Statement.CancelJob::new),
            phrase("LIFT QUARANTINE")
                .next(value("a fingerprint"))
                .map(Statement.LiftQuarantine::new),
            phrase("DRAIN").next(drain(true)),
            phrase("UNDRAIN").next(drain(false)),
            phrase("ORDER ENDPOINT").next(order()));
    return sign(";").skipMany().next(statement.sepEndBy1(sign(";").skipMany1()));
  }

  private static Parser<Statement> create() {
    return Parsers.or(
        Parsers.sequence(phrase("MEMBER").next(MEMBER), KEYS, Statement.CreateMember::new),
        Parsers.sequence(phrase("MODEL").next(MODEL), OPTIONS, Statement.CreateModel::new));
  }

  private static Parser<Statement> change() {
    Parser<KeyChange> change =
        Parsers.or(
            phrase("ADD").retn(KeyChange.ADD),
            phrase("REMOVE").retn(KeyChange.REMOVE),
            phrase("SET").retn(KeyChange.REPLACE));
    return Parsers.or(
        Parsers.sequence(
            phrase("MEMBER").next(MEMBER), change, KEYS, VERSION, Statement.ChangeMember::new),
        Parsers.sequence(
            phrase("MODEL").next(MODEL), OPTIONS, VERSION, Statement.ChangeModel::new));
  }

  private static Parser<Statement> drop() {
    return Parsers.or(
        Parsers.sequence(phrase("MEMBER").next(MEMBER), VERSION, Statement.DropMember::new),
        Parsers.sequence(phrase("MODEL").next(MODEL), VERSION, Statement.DropModel::new));
  }

  private static Parser<ModelOptions> options() {
    Parser<Boolean> onOff = phrase("ON").retn(true).or(phrase("OFF").retn(false));
    Parser<UnaryOperator<ModelOptions>> option =
        Parsers.or(
            phrase("SERVICE")
                .next(value("a service name"))
                .map(name -> options -> options.withService(name)),
            phrase("PATH")
                .next(value("a path prefix '/…'", StatementParser::path))
                .map(path -> options -> options.withPath(path)),
            phrase("SLOTS").next(count(4_096)).map(count -> options -> options.withSlots(count)),
            phrase("FENCING").next(onOff).map(on -> options -> options.withFencing(on)));
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
        phrase("LIMITS")
            .next(
                Parsers.sequence(
                    OF_MEMBER,
                    phrase("IN FORCE").asOptional(),
                    (member, inForce) -> new Statement.ShowLimits(member, inForce.isPresent())));
    Parser<Statement> endpoints =
        phrase("ENDPOINTS")
            .next(phrase("OF SERVICE").next(value("a service name")).asOptional())
            .map(Statement.ShowEndpoints::new);
    return Parsers.or(
        phrase("MEMBER").next(MEMBER).map(Statement.ShowMember::new),
        phrase("MODEL").next(MODEL).map(Statement.ShowModel::new),
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
            phrase("JOBS").next(OF_MEMBER),
            phrase("WHERE STATE").next(sign("=")).next(Words.constant(JobState.class)).asOptional(),
            limit(DEFAULT_JOBS),
            Statement.ShowJobs::new),
        Parsers.sequence(
            phrase("JOB").next(JOB),
            phrase("WAIT").asOptional(),
            (job, await) -> new Statement.ShowJob(job, await.isPresent())),
        Parsers.sequence(
            phrase("ITEMS OF JOB").next(JOB),
            phrase("WHERE STATE")
                .next(sign("="))
                .next(Words.constant(ItemState.class))
                .asOptional(),
            limit(DEFAULT_ITEMS),
            phrase("AFTER")
                .next(value("an item SEGMENT.INDEX", StatementParser::position))
                .asOptional(),
            Statement.ShowItems::new));
  }

  private static Parser<Statement> list(ListTarget target) {
    return phrase(target.name()).retn(new Statement.ShowList(target));
  }

  private static Parser<Statement> setLimit() {
    return Parsers.sequence(
        Words.constant(LimitKind.class),
        phrase("OF MEMBER").next(MEMBER),
        phrase("TO").next(value("a value")),
        VERSION,
        Statement.SetLimit::new);
  }

  private static Parser<Statement> submit() {
    return Parsers.sequence(
        phrase("FILE").next(value("a file id")),
        phrase("OF MEMBER").next(MEMBER),
        phrase("PATH").next(value("an API path", StatementParser::path)).optional(DEFAULT_PATH),
        phrase("WINDOW")
            .next(value("a window such as 90m, 24h or 7d", StatementParser::window))
            .optional(DEFAULT_WINDOW),
        phrase("KEY").next(value("an idempotency key")).optional(""),
        Statement.SubmitJob::new);
  }

  private static Parser<Statement> drain(boolean drained) {
    Parser<Statement.DrainTarget> target =
        Parsers.or(
            phrase("ENDPOINT").retn(Statement.DrainTarget.ENDPOINT),
            phrase("INSTANCE").retn(Statement.DrainTarget.INSTANCE));
    return Parsers.sequence(
        target, value("a name"), (kind, name) -> new Statement.Drain(kind, name, drained));
  }

  private static Parser<Statement> order() {
    return Parsers.sequence(
        ENDPOINT, phrase("TO LOAD MODEL").next(MODEL), VERSION, Statement.OrderLoad::new);
  }

  private static Parser<Integer> limit(int otherwise) {
    return phrase("LIMIT").next(count(MOST_ROWS)).optional(otherwise);
  }

  private static Parser<Integer> count(int most) {
    return value(
        "a whole number from 1 to " + most,
        text -> {
          Long number = version(text);
          return number == null || number < 1 || number > most ? null : number.intValue();
        });
  }

  private static Long version(String text) {
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
