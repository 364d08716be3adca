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
 * Lexical elements of the operators' language.
 *
 * <p>Keywords are recognised by their place only, so that no name is reserved.
 */
final class Words {
  /** A bare word: keyword, name, number or time of day. */
  private record Bare(String text) {
    @Override
    public String toString() {
      return "'" + text + "'";
    }
  }

  /** A string in single quotes. */
  private record Quoted(String text) {
    @Override
    public String toString() {
      return "a string";
    }
  }

  /** Text that is no element; a token of its own, so that the grammar can say what it expected. */
  private record Stray(String text) {
    @Override
    public String toString() {
      return text.startsWith("'") ? "a string without closing quote" : "'" + text + "'";
    }
  }

  private static final CharPredicate WORD_START =
      CharPredicates.or(CharPredicates.IS_ALPHA_NUMERIC, CharPredicates.isChar('_'));
  private static final CharPredicate WORD_PART =
      CharPredicates.or(WORD_START, CharPredicates.among("-.:#"));
  private static final Terminals SIGNS = Terminals.operators("=", ",", ";");

  private static final Parser<Object> BARE =
      Scanners.pattern(
              Patterns.isChar(WORD_START).next(Patterns.many(WORD_PART)), "a name or keyword")
          .source()
          .map(Bare::new);
  private static final Parser<Object> QUOTED =
      Scanners.SINGLE_QUOTE_STRING
          .label("a string in single quotes")
          .map(text -> new Quoted(text.substring(1, text.length() - 1).replace("''", "'")));

  private static final Parser<Void> DELIMITER =
      Parsers.<Void>or(Scanners.WHITESPACES, Scanners.SQL_LINE_COMMENT).skipMany();
  private static final Parser<Object> STRAY =
      Parsers.or(
              Scanners.isChar('\'').next(Scanners.many(CharPredicates.ALWAYS)), Scanners.ANY_CHAR)
          .source()
          .map(Stray::new);
  private static final Parser<Object> TOKEN =
      Parsers.<Object>or(QUOTED.atomic(), SIGNS.tokenizer().cast(), BARE, STRAY);

  private Words() {}

  /** Returns a parser of text that reads its tokens by a grammar. */
  static <T> Parser<T> over(Parser<T> grammar) {
    return grammar.from(TOKEN, DELIMITER);
  }

  /** Returns a parser of keywords in a row, without regard to case. */
  static Parser<?> phrase(String words) {
    List<Parser<?>> parsers =
        Arrays.stream(words.split(" ")).<Parser<?>>map(Words::keyword).toList();
    return Parsers.sequence(parsers);
  }

  /** Returns a parser of a sign. */
  static Parser<?> sign(String sign) {
    return SIGNS.token(sign);
  }

  /** Returns a parser of a name, number or string. */
  static Parser<String> value(String description) {
    return token(
        description,
        content -> {
          if (content instanceof Bare bare) {
            return bare.text();
          }
          return content instanceof Quoted quoted ? quoted.text() : null;
        });
  }

  /** Returns a parser of a value that must convert; null from the conversion is an error. */
  static <T> Parser<T> value(String description, Function<String, T> conversion) {
    return token(
        description,
        content -> {
          if (content instanceof Bare bare) {
            return conversion.apply(bare.text());
          }
          return content instanceof Quoted quoted ? conversion.apply(quoted.text()) : null;
        });
  }

  /** Returns a parser of one constant of an enumeration, with hyphens for underscores. */
  static <E extends Enum<E>> Parser<E> constant(Class<E> type) {
    String description =
        String.join(
            ", ", Arrays.stream(type.getEnumConstants()).map(Words::toText).sorted().toList());
    return value(
        "one of " + description,
        text ->
            Arrays.stream(type.getEnumConstants())
                .filter(constant -> toText(constant).equalsIgnoreCase(text.replace('_', '-')))
                .findFirst()
                .orElse(null));
  }

  /** Returns the written form of a constant. */
  static String toText(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  // -----------------------------------------------------------------------

  private static Parser<String> keyword(String keyword) {
    return token(
        keyword,
        content ->
            content instanceof Bare bare && bare.text().equalsIgnoreCase(keyword)
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
