package org.sedgeroad.check;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against exceptions other than the declared one, and against findings with a key. */
class ConfigurationFuzzTest {
  private static final long SEED = 42;
  private static final int DOCUMENTS = 20_000;

  /** Values of other types, and numbers at the ends of ranges. */
  private static final List<String> VALUES =
      List.of(
          "null",
          "true",
          "[]",
          "{}",
          "[[]]",
          "\"\"",
          "\"\\u0000\"",
          "\"/\"",
          "-1",
          "0",
          "1e999",
          "-0.0",
          "1.5",
          "9223372036854775808",
          "1e-400",
          "\"batch\"",
          "[null]",
          "[{}]");

  private final Random random = new Random(SEED);
  private final String valid = new SampleConfiguration().root().toString();
  private final ConfigurationDocument current = new SampleConfiguration().document();

  /** Returns whether the document could be read; checks and differences must not fail then. */
  private boolean check(byte[] content) {
    try {
      ConfigurationReader.Result result =
          ConfigurationReader.read(content, ConfigurationFormat.PRODUCT);
      List<Finding> findings =
          Stream.of(
                  result.findings(),
                  ConfigurationCheck.check(result.document(), SampleConfiguration.OPTIONS),
                  ConfigurationDifferences.between(result.document(), current),
                  ConfigurationDifferences.between(current, result.document()))
              .flatMap(List::stream)
              .toList();
      assertFalse(FindingText.json("f", findings).toString().contains("secret-"));
      return true;
    } catch (UnreadableConfigurationException declared) {
      assertFalse(declared.getMessage().contains("secret-"));
      return false;
    }
  }

  @Test
  void randomBytes() {
    for (int document = 0; document < DOCUMENTS; document++) {
      byte[] content = new byte[random.nextInt(200)];
      random.nextBytes(content);
      check(content);
    }
  }

  @Test
  void changedBytesOfAValidDocument() {
    for (int document = 0; document < DOCUMENTS; document++) {
      byte[] content = valid.getBytes(StandardCharsets.UTF_8);
      for (int change = random.nextInt(4); change >= 0; change--) {
        content[random.nextInt(content.length)] = (byte) random.nextInt(256);
      }
      check(content);
    }
  }

  @Test
  void changedValuesOfAValidDocument() {
    // Splits before and after values, so that each odd part is a value or a name.
    String[] parts = valid.split("(?<=[:,\\[])|(?=[,\\]}])");
    int readable = 0;
    for (int document = 0; document < DOCUMENTS; document++) {
      String[] changed = parts.clone();
      for (int change = random.nextInt(3); change >= 0; change--) {
        changed[random.nextInt(changed.length)] = VALUES.get(random.nextInt(VALUES.size()));
      }
      readable += check(String.join("", changed).getBytes(StandardCharsets.UTF_8)) ? 1 : 0;
    }
    // Without documents that can be read, the checks would not be tested.
    assertTrue(readable > DOCUMENTS / 20, readable + " documents could be read");
  }

  @Test
  void deepNesting() {
    check("[".repeat(100_000).getBytes(StandardCharsets.UTF_8));
    check(("{\"routes\":" + "[".repeat(900) + "]".repeat(900) + "}").getBytes());
  }
}
