package org.sedgeroad.job;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Converts lines of text to and from one compressed string, for a field of a stored object. */
public final class CompressedLines {
  private CompressedLines() {}

  /**
   * Returns the lines, compressed by gzip and encoded in Base64.
   *
   * @param lines lines without line breaks
   */
  public static String compress(List<String> lines) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream zip = new GZIPOutputStream(bytes)) {
      zip.write(String.join("\n", lines).getBytes(StandardCharsets.UTF_8));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return Base64.getEncoder().encodeToString(bytes.toByteArray());
  }

  /**
   * Returns the lines of a compressed string; none if their text is empty.
   *
   * @throws IllegalArgumentException if the string is not valid Base64
   * @throws UncheckedIOException if the decoded bytes are not valid gzip data
   */
  public static List<String> expand(String compressed) {
    byte[] bytes = Base64.getDecoder().decode(compressed);
    try (GZIPInputStream zip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      String text = new String(zip.readAllBytes(), StandardCharsets.UTF_8);
      return text.isEmpty() ? List.of() : List.of(text.split("\n", -1));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
