package org.sedgeroad.settings;

/**
 * One fault of a settings file.
 *
 * @param section section name, empty for a fault of the whole file
 * @param key key, empty for a fault of the section
 * @param line line number from 1, 0 if the key is missing
 * @param message what is wrong and what is expected
 */
public record SettingsFault(String section, String key, int line, String message) {

  /** Returns the fault as one line of text. */
  @Override
  public String toString() {
    String linePrefix = line > 0 ? "line " + line + ": " : "";
    return linePrefix + "[" + section + "] " + key + ": " + message;
  }
}
