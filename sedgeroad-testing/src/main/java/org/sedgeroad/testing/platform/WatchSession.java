package org.sedgeroad.testing.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.function.Consumer;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.ResponseStream;

/** An open watch, which sends each change as a line of JSON. */
final class WatchSession implements Consumer<Change> {
  private final ResponseStream stream;
  private final String prefix;
  private final PlatformCounters counters;

  private WatchSession(ResponseStream stream, String prefix, PlatformCounters counters) {
    this.stream = stream;
    this.prefix = prefix;
    this.counters = counters;
  }

  /** Returns a session that sends nothing before its first change or {@link #begin}. */
  static WatchSession of(HttpServerExchange exchange, String prefix, PlatformCounters counters) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    return new WatchSession(ResponseStream.of(exchange), prefix, counters);
  }

  void begin() {
    stream.begin();
  }

  @Override
  public void accept(Change change) {
    if (!change.object().name().startsWith(prefix)) {
      return;
    }
    byte[] event = Answers.toBytes(StoreAnswers.event(change));
    byte[] line = java.util.Arrays.copyOf(event, event.length + 1);
    line[event.length] = '\n';
    counters.watchEvents.increment();
    counters.bytesOut.add(line.length);
    stream.send(line);
  }

  void abort() {
    stream.abort();
  }
}
