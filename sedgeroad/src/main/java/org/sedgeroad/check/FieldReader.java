package org.sedgeroad.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.sedgeroad.access.KeyDigest;

/** Reads the fields of one object of a document and reports values out of range. */
final class FieldReader {
  /** Longer names and prefixes are no mistake of an operator, and would make checks slow. */
  private static final int MAXIMUM_LETTERS = 4_096;

  private final ConfigurationFormat format;
  private final JsonNode object;
  private final String prefix;
  private final Set<String> keyDigests;
  private final List<Finding> findings;

  /**
   * Creates a reader.
   *
   * @param prefix path of the object's fields, empty or ending with a dot
   * @param keyDigests digests of all keys of the document, whose texts must not be printed
   * @param findings receives the findings
   */
  FieldReader(
      ConfigurationFormat format,
      JsonNode object,
      String prefix,
      Set<String> keyDigests,
      List<Finding> findings) {
    this.format = format;
    this.object = object;
    this.prefix = prefix;
    this.keyDigests = keyDigests;
    this.findings = findings;
  }

  /** Returns the value of a field, a missing node if there is none or it is null. */
  static JsonNode value(ConfigurationFormat format, JsonNode object, Field field) {
    JsonNode node = object;
    for (String part : format.fieldName(field).split("\\.")) {
      node = node.path(part);
    }
    return node.isNull() ? node.path("") : node;
  }

  JsonNode value(Field field) {
    return value(format, object, field);
  }

  String place(Field field) {
    return prefix + format.fieldName(field);
  }

  void error(Field field, String reason) {
    findings.add(Finding.error(place(field), reason));
  }

  /** Returns a required text, empty after reporting that it is missing or not valid. */
  String text(Field field) {
    JsonNode node = value(field);
    if (!node.isTextual() || node.asText().isEmpty()) {
      error(field, node.isMissingNode() ? "is missing" : "is not a text with characters");
      return "";
    }
    if (node.asText().length() > MAXIMUM_LETTERS) {
      error(field, "is longer than " + MAXIMUM_LETTERS + " characters");
      return "";
    }
    if (keyDigests.contains(KeyDigest.of(node.asText()))) {
      error(field, "is the same text as a key, which other systems would print");
      return "(hidden)";
    }
    return node.asText();
  }

  /** Returns a boolean, false if it is missing or after reporting that it is something else. */
  boolean flag(Field field) {
    JsonNode node = value(field);
    if (!node.isMissingNode() && !node.isBoolean()) {
      error(field, "is not true or false");
    }
    return node.isBoolean() && node.asBoolean();
  }

  /** Returns a whole number, empty if it is missing or after reporting that it is not valid. */
  OptionalLong number(Field field, long minimum, long maximum) {
    JsonNode node = value(field);
    if (node.isMissingNode()) {
      return OptionalLong.empty();
    }
    boolean valid =
        node.isNumber()
            && node.canConvertToExactIntegral()
            && node.canConvertToLong()
            && node.asLong() >= minimum
            && node.asLong() <= maximum;
    if (!valid) {
      error(field, "is not a whole number from " + minimum + " to " + maximum);
      return OptionalLong.empty();
    }
    return OptionalLong.of(node.asLong());
  }

  /** Returns a whole number, 0 after reporting that it is missing or not valid. */
  long requiredNumber(Field field, long minimum, long maximum) {
    if (value(field).isMissingNode()) {
      error(field, "is missing");
    }
    return number(field, minimum, maximum).orElse(0);
  }

  /** Returns a number of at least 0, 0 if it is missing or after reporting that it is not valid. */
  double amount(Field field, double maximum) {
    JsonNode node = value(field);
    OptionalDouble value =
        node.isNumber() ? OptionalDouble.of(node.asDouble()) : OptionalDouble.empty();
    if (value.isPresent() && value.getAsDouble() >= 0 && value.getAsDouble() <= maximum) {
      return value.getAsDouble();
    }
    if (!node.isMissingNode()) {
      error(field, "is not a number from 0 to " + (long) maximum);
    }
    return 0;
  }
}
