package org.sedgeroad.settings;

import java.io.IOException;
import java.io.StringReader;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.ini4j.Config;
import org.ini4j.Ini;

/** A parsed INI file that collects the faults found in it. Not thread-safe. */
final class IniText {
  /** A number that is not negative, with or without a fraction and an exponent. */
  private static final Pattern DECIMAL =
      Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,25})?([eE][+-]?[0-9]{1,2})?");

  /** Unit of a number in a file, in relation to the unit in which it is used. */
  enum Unit {
    /** The same unit; a fraction is cut off, which is the strict side of an upper bound. */
    AT_MOST(1, RoundingMode.FLOOR),
    /** Seconds, used as milliseconds; a part of a millisecond is cut off. */
    SECONDS_AT_MOST(1_000, RoundingMode.FLOOR),
    /** Seconds, used as milliseconds; a part of a millisecond counts as a whole one. */
    SECONDS_AT_LEAST(1_000, RoundingMode.CEILING);

    private final BigDecimal size;
    private final RoundingMode rounding;

    Unit(long size, RoundingMode rounding) {
      this.size = BigDecimal.valueOf(size);
      this.rounding = rounding;
    }
  }

  private final String text;
  private final Ini ini = new Ini();
  private final List<SettingsFault> faults = new ArrayList<>();

  private IniText(String text) {
    this.text = text;
  }

  /**
   * Parses a text. If it is not in INI format, the result has one fault; its values are incomplete.
   */
  static IniText parse(String text) {
    IniText parsed = new IniText(text);
    try {
      Config config = new Config();
      config.setEscape(false);
      parsed.ini.setConfig(config);
      parsed.ini.load(new StringReader(text));
    } catch (IOException failure) {
      parsed.faults.add(new SettingsFault("", "", 0, "not an INI file: " + failure.getMessage()));
    }
    return parsed;
  }

  /** Returns the faults found so far in file order. */
  List<SettingsFault> faults() {
    faults.sort(Comparator.comparingInt(SettingsFault::line));
    return faults;
  }

  /**
   * Adds a fault for each unknown section, each unknown key and each key given more than once.
   *
   * @param keys the known keys by section
   */
  void checkKeys(Map<String, Set<String>> keys) {
    ini.forEach(
        (section, entries) -> {
          Set<String> knownKeys = keys.get(section);
          if (knownKeys == null) {
            addFault(section, "", "unknown section; known: " + String.join(", ", keys.keySet()));
            return;
          }
          for (String key : entries.keySet()) {
            if (!knownKeys.contains(key)) {
              String knownNames = String.join(", ", knownKeys.stream().sorted().toList());
              addFault(section, key, "unknown key; known: " + knownNames);
            } else if (entries.getAll(key).size() > 1) {
              addFault(section, key, "given more than once");
            }
          }
        });
  }

  /** Returns the non-empty elements of a comma-separated value; none if it is missing. */
  List<String> list(String section, String key) {
    String value = value(section, key);
    return value == null
        ? List.of()
        : Arrays.stream(value.split(",")).map(String::strip).filter(s -> !s.isEmpty()).toList();
  }

  /** Returns a value, null if it is missing or blank. */
  String value(String section, String key) {
    String value = ini.get(section, key);
    return value == null || value.isBlank() ? null : value.strip();
  }

  /** Returns a required value. If it is missing, adds a fault and returns an empty text. */
  String required(String section, String key) {
    String value = value(section, key);
    if (value == null) {
      addFault(section, key, "is required");
      return "";
    }
    return value;
  }

  /**
   * Returns a required socket address. If it is missing or not valid, adds a fault and returns
   * null.
   */
  InetSocketAddress socket(String section, String key) {
    String value = required(section, key);
    Optional<InetSocketAddress> address = parseSocket(value);
    if (address.isEmpty() && !value.isEmpty()) {
      addFault(section, key, "expected IP:PORT, found '" + value + "'");
    }
    return address.orElse(null);
  }

  /** Parses a socket address of the form {@code IP:PORT}; empty if it is not valid. */
  static Optional<InetSocketAddress> parseSocket(String value) {
    int colon = value.lastIndexOf(':');
    if (colon <= 0 || !value.substring(0, colon).matches("[0-9a-fA-F.:\\[\\]]+")) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      return Optional.of(new InetSocketAddress(value.substring(0, colon), port));
    } catch (IllegalArgumentException failure) {
      return Optional.empty();
    }
  }

  /**
   * Parses a base address of the form {@code http://HOST:PORT} or {@code https://HOST:PORT}. Adds a
   * fault if it is not valid.
   *
   * @param section section of the value
   * @param key key of the value
   * @param value the value, null or empty if it is missing
   * @param fallback result if the value is missing or not valid; may be null
   */
  URI address(String section, String key, String value, URI fallback) {
    if (value == null || value.isEmpty()) {
      return fallback;
    }
    if (!value.matches("https?://[^/\\s]+:[0-9]{1,5}")) {
      addFault(section, key, "expected http://IP:PORT, found '" + value + "'");
      return fallback;
    }
    return URI.create(value);
  }

  /**
   * Returns a whole number. Adds a fault if it is not valid or out of range.
   *
   * @param section section of the value
   * @param key key of the value
   * @param fallback result if the value is missing or not valid
   * @param minimum smallest valid number
   * @param maximum largest valid number
   */
  long number(String section, String key, long fallback, long minimum, long maximum) {
    String value = value(section, key);
    if (value == null) {
      return fallback;
    }
    try {
      long number = Long.parseLong(value);
      if (number >= minimum && number <= maximum) {
        return number;
      }
    } catch (NumberFormatException failure) {
      // Reported below, like a number out of range.
    }
    addFault(
        section,
        key,
        "expected a whole number from " + minimum + " to " + maximum + ", found '" + value + "'");
    return fallback;
  }

  /**
   * Returns a number in a smaller unit than that of the file, rounded to a whole number. It may
   * have a fraction in the file. Adds a fault if it is not valid or out of range.
   *
   * @param section section of the value
   * @param key key of the value
   * @param fallback result if the value is missing or not valid, in the smaller unit
   * @param unit size of the file's unit and direction of rounding
   * @param minimum smallest valid number in the file's unit
   * @param maximum largest valid number in the file's unit
   */
  long rounded(String section, String key, long fallback, Unit unit, double minimum, long maximum) {
    String value = value(section, key);
    if (value == null) {
      return fallback;
    }
    if (DECIMAL.matcher(value).matches()) {
      BigDecimal number = new BigDecimal(value);
      if (number.compareTo(BigDecimal.valueOf(minimum)) >= 0
          && number.compareTo(BigDecimal.valueOf(maximum)) <= 0) {
        return number.multiply(unit.size).setScale(0, unit.rounding).longValueExact();
      }
    }
    addFault(
        section,
        key,
        "expected a number from "
            + BigDecimal.valueOf(minimum).stripTrailingZeros().toPlainString()
            + " to "
            + maximum
            + ", found '"
            + value
            + "'");
    return fallback;
  }

  /**
   * Returns a number with a fraction or without. Adds a fault if it is not valid or out of range.
   *
   * @param section section of the value
   * @param key key of the value
   * @param fallback result if the value is missing or not valid
   * @param maximum largest valid number; the smallest is 0
   */
  double decimal(String section, String key, double fallback, double maximum) {
    String value = value(section, key);
    if (value == null) {
      return fallback;
    }
    if (DECIMAL.matcher(value).matches() && Double.parseDouble(value) <= maximum) {
      return Double.parseDouble(value);
    }
    addFault(section, key, "expected a number from 0 to " + maximum + ", found '" + value + "'");
    return fallback;
  }

  /** Adds a fault of a key, or of the whole section if the key is empty. */
  void addFault(String section, String key, String message) {
    faults.add(new SettingsFault(section, key, lineOf(section, key), message));
  }

  /**
   * Returns the line number of a key, or of the section header if the key is empty; 0 if it is
   * missing. Searches the text, because ini4j does not keep line numbers.
   */
  private int lineOf(String section, String key) {
    String current = "";
    int number = 0;
    int sectionLine = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      String stripped = line.strip();
      if (stripped.startsWith("[") && stripped.endsWith("]")) {
        current = stripped.substring(1, stripped.length() - 1);
        sectionLine = current.equals(section) ? number : sectionLine;
      } else if (current.equals(section)
          && !key.isEmpty()
          && stripped.split("[=:]", 2)[0].strip().equals(key)) {
        return number;
      }
    }
    return key.isEmpty() ? sectionLine : 0;
  }
}
