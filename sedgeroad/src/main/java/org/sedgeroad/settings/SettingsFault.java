package org.sedgeroad.settings;

/**
 * A fault of a settings file. No component is null.
 *
 * @param section name of the section, empty for a fault of the whole file
 * @param key name of the key, empty for a fault of the whole section or file
 * @param line line number, starting at 1; 0 if the fault has no line, for example a missing key
 * @param message description of the fault and of the expected value
 */
public record SettingsFault(String section, String key, int line, String message) {

  /** Returns the fault as one line of text. */
  @Override
  public String toString() {
    String linePrefix = line > 0 ? "line " + line + ": " : "";
    return linePrefix + "[" + section + "] " + key + ": " + message;
  }
}
