package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.http.HttpListener;
import org.sedgeroad.http.LineSplitter;

/** Converts the JSON lines of a watch to changes. */
final class WatchReader implements HttpListener {
  private static final int GONE = 410;

  private final String kind;
  private final ObjectMapper mapper;
  private final WatchListener listener;
  private final LineSplitter lines = new LineSplitter(this::readLine);
  private int status;

  WatchReader(String kind, ObjectMapper mapper, WatchListener listener) {
    this.kind = kind;
    this.mapper = mapper;
    this.listener = listener;
  }

  @Override
  public void onHead(HttpHead head) {
    status = head.status();
  }

  @Override
  public void onBytes(ByteBuffer bytes) {
    if (status == 200) {
      lines.accept(bytes);
    }
  }

  @Override
  public void onEnd() {
    String reason = "watch ended with status " + status;
    if (status == GONE) {
      listener.onExpired(reason);
    } else {
      listener.onClosed(reason);
    }
  }

  @Override
  public void onFailure(HttpFailure failure) {
    listener.onClosed(failure.reason());
  }

  private void readLine(String line) {
    if (line.isBlank()) {
      return;
    }
    try {
      JsonNode event = mapper.readTree(line);
      StoredObject object = HttpObjectStore.FORMAT.parse(kind, event.path("object"));
      boolean deleted = event.path("type").asText().equals("DELETED");
      listener.onChange(
          deleted ? new StoredObject(kind, object.name(), object.version(), null) : object);
    } catch (IOException failure) {
      listener.onClosed("watch line is not JSON");
    }
  }
}
