package org.sedgeroad.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The parts of a prompt in order, each identified together with all parts before it. Immutable.
 *
 * <p>An endpoint that has a part cached can use it only for a prompt that begins with the same
 * parts. The last part belongs to the request or its session; other requests may share the others.
 */
public final class PromptPrefix {
  /** Maximum number of parts that are kept; the ones after them are left out. */
  public static final int MAXIMUM_PARTS = 16;

  /** Prompt of which no parts are known. */
  public static final PromptPrefix NONE = new PromptPrefix(new long[0], new int[0]);

  private final long[] keys;
  private final int[] tokens;

  /**
   * A part of a prompt.
   *
   * @param id id of the part, not null
   * @param tokens number of its tokens, positive
   */
  public record Part(String id, int tokens) {
    /**
     * Checks the components.
     *
     * @throws NullPointerException if the id is null
     * @throws IllegalArgumentException if there are no tokens
     */
    public Part {
      Objects.requireNonNull(id);
      if (tokens <= 0) {
        throw new IllegalArgumentException("part " + id + " has " + tokens + " tokens");
      }
    }
  }

  private PromptPrefix(long[] keys, int[] tokens) {
    this.keys = keys;
    this.tokens = tokens;
  }

  /**
   * Returns the prompt with some parts.
   *
   * @param parts the parts in order, not null
   */
  public static PromptPrefix of(List<Part> parts) {
    int size = Math.min(parts.size(), MAXIMUM_PARTS);
    long[] keys = new long[size];
    int[] tokens = new int[size];
    long before = 0;
    for (int index = 0; index < size; index++) {
      Part part = parts.get(index);
      before = Hashing.komihash5_0().hashStream().putLong(before).putString(part.id()).getAsLong();
      keys[index] = before;
      tokens[index] = part.tokens();
    }
    return size == 0 ? NONE : new PromptPrefix(keys, tokens);
  }

  /** Returns whether no parts are known. */
  public boolean isEmpty() {
    return keys.length == 0;
  }

  /** Returns the number of parts. */
  public int size() {
    return keys.length;
  }

  /** Returns a hash of a part and of all parts before it. */
  public long key(int index) {
    return keys[index];
  }

  /** Returns the number of tokens of a part. */
  public int tokens(int index) {
    return tokens[index];
  }

  /** Returns the number of tokens of all parts. */
  public int tokens() {
    return (int) Math.min(Integer.MAX_VALUE, Arrays.stream(tokens).asLongStream().sum());
  }
}
