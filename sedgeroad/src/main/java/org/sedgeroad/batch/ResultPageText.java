package org.sedgeroad.batch;

import com.fasterxml.jackson.databind.JsonNode;

/** The form of a page of results between instances. */
public final class ResultPageText {
  private ResultPageText() {}

  /** Returns the JSON form of a page. */
  public static JsonNode encode(ResultPage page) {
    return JobCodec.encode(page);
  }

  /** Returns the page in a JSON form. */
  public static ResultPage decode(JsonNode node) {
    return JobCodec.decodePage(node);
  }
}
