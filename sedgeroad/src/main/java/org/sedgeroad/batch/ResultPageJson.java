package org.sedgeroad.batch;

import com.fasterxml.jackson.databind.JsonNode;

/** Converts pages of results to and from the JSON that instances exchange. */
public final class ResultPageJson {
  private ResultPageJson() {}

  /** Returns a page as JSON. */
  public static JsonNode encode(ResultPage page) {
    return JobCodec.encode(page);
  }

  /** Returns the page that was encoded as JSON. */
  public static ResultPage decode(JsonNode node) {
    return JobCodec.decodePage(node);
  }
}
