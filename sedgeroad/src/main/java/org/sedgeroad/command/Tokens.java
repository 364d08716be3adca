package org.sedgeroad.command;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Scanners;
import org.jparsec.Terminals;
import org.jparsec.Token;
import org.jparsec.TokenMap;
import org.jparsec.pattern.CharPredicate;
import org.jparsec.pattern.CharPredicates;
import org.jparsec.pattern.Patterns;

/**
 * Tokens of the operators' statement language, and parsers for them.
 *
 * <p>A keyword is recognized only where the grammar expects it, so that no name is reserved.
 */
final class Tokens {
  /** An unquoted word: a keyword, name, number or time of day. */
  private record BareWord(String text) {
    @Override
    public String toString() {
      return "'" + text + "'";
    }
  }

  /** A string in single quotes. */
  private record QuotedString(String text) {
    @Override
    public String toString() {
      return "a string";
    }
  }

  /**
   * Text that is not a valid token. It is passed to the grammar like a token, so that the error
   * message can say what was expected in its place.
   */
  private record InvalidText(String text) {
    @Override
    public String toString() {
      return text.startsWith("'") ? "a string without closing quote" : "'" + text + "'";
    }
  }

  private static final CharPredicate WORD_START =
      CharPredicates.or(CharPredicates.IS_ALPHA_NUMERIC, CharPredicates.isChar('_'));
  private static final CharPredicate WORD_PART =
      CharPredicates.or(WORD_START, CharPredicates.among("-.:#"));
  private static final Terminals SYMBOLS = Terminals.operators("=", ",", ";");

  private static final Parser<Object> BARE_WORD =
      Scanners.pattern(
              Patterns.isChar(WORD_START).next(Patterns.many(WORD_PART)), "a name or keyword")
          .source()
          .map(BareWord::new);
  private static final Parser<Object> QUOTED_STRING =
      Scanners.SINGLE_QUOTE_STRING
          .label("a string in single quotes")
          .map(text -> new QuotedString(text.substring(1, text.length() - 1).replace("''", "'")));

  private static final Parser<Void> DELIMITER =
      Parsers.<Void>or(Scanners.WHITESPACES, Scanners.SQL_LINE_COMMENT).skipMany();
  private static final Parser<Object> INVALID_TEXT =
      Parsers.or(
              Scanners.isChar('\'').next(Scanners.many(CharPredicates.ALWAYS)), Scanners.ANY_CHAR)
          .source()
          .map(InvalidText::new);
  private static final Parser<Object> TOKEN =
      Parsers.<Object>or(
          QUOTED_STRING.atomic(), SYMBOLS.tokenizer().cast(), BARE_WORD, INVALID_TEXT);

  private Tokens() {}

  /** Returns a parser that splits a text into tokens and parses them with a grammar. */
  static <T> Parser<T> tokenized(Parser<T> grammar) {
    return grammar.from(TOKEN, DELIMITER);
  }

  /**
   * Returns a parser of consecutive keywords, which ignores their case.
   *
   * @param words the keywords, separated by single spaces
   */
  static Parser<?> keywords(String words) {
    List<Parser<?>> parsers =
        Arrays.stream(words.split(" ")).<Parser<?>>map(Tokens::keyword).toList();
    return Parsers.sequence(parsers);
  }

  /** Returns a parser of one of the symbols {@code =}, {@code ,} and {@code ;}. */
  static Parser<?> symbol(String symbol) {
    return SYMBOLS.token(symbol);
  }

  /**
   * Returns a parser of a name, number or string.
   *
   * @param description what an error message reports as expected
   */
  static Parser<String> value(String description) {
    return token(
        description,
        content -> {
          if (content instanceof BareWord bare) {
            return bare.text();
          }
          return content instanceof QuotedString quoted ? quoted.text() : null;
        });
  }

  /**
   * Returns a parser that reads a name, number or string and converts it.
   *
   * @param description what an error message reports as expected
   * @param conversion returns null for a text that is not valid
   */
  static <T> Parser<T> value(String description, Function<String, T> conversion) {
    return token(
        description,
        content -> {
          if (content instanceof BareWord bare) {
            return conversion.apply(bare.text());
          }
          return content instanceof QuotedString quoted ? conversion.apply(quoted.text()) : null;
        });
  }

  /** Returns a parser of an enum constant, written with hyphens or underscores; case is ignored. */
  static <E extends Enum<E>> Parser<E> enumConstant(Class<E> type) {
    String description =
        String.join(
            ", ", Arrays.stream(type.getEnumConstants()).map(Tokens::toText).sorted().toList());
    return value(
        "one of " + description,
        text ->
            Arrays.stream(type.getEnumConstants())
                .filter(constant -> toText(constant).equalsIgnoreCase(text.replace('_', '-')))
                .findFirst()
                .orElse(null));
  }

  /** Returns the name of an enum constant in lower case, with hyphens for underscores. */
  static String toText(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static Parser<String> keyword(String keyword) {
    return token(
        keyword,
        content ->
            content instanceof BareWord bare && bare.text().equalsIgnoreCase(keyword)
                ? bare.text()
                : null);
  }

  private static <T> Parser<T> token(String description, Function<Object, T> match) {
    return Parsers.token(
        new TokenMap<T>() {
          @Override
          public T map(Token token) {
            return match.apply(token.value());
          }

          @Override
          public String toString() {
            return description;
          }
        });
  }
}
