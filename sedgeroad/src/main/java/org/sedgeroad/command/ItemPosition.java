package org.sedgeroad.command;

/**
 * Position of an item in a job, written {@code SEGMENT.INDEX}.
 *
 * @param segment index of the segment, from 0
 * @param item index of the item within the segment, from 0; -1 for the position before the first
 *     item
 */
public record ItemPosition(int segment, int item) {

  /**
   * Parses a position written {@code SEGMENT.INDEX}.
   *
   * @throws IllegalArgumentException if the text is not two whole numbers joined by a dot
   */
  public static ItemPosition parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != 2) {
      throw new IllegalArgumentException("expected SEGMENT.INDEX, found '" + text + "'");
    }
    return new ItemPosition(Integer.parseUnsignedInt(parts[0]), Integer.parseUnsignedInt(parts[1]));
  }

  @Override
  public String toString() {
    return segment + "." + item;
  }
}
