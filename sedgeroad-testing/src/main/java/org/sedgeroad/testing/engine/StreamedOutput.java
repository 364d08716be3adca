package org.sedgeroad.testing.engine;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.sedgeroad.testing.http.ResponseStream;

/** Sends each token of a run as a server-sent event. */
final class StreamedOutput implements RunOutput {
  private final GenerationRequest request;
  private final AnswerChunks chunks;
  private final ResponseStream stream;

  StreamedOutput(GenerationRequest request, String model, HttpServerExchange exchange) {
    this.request = request;
    this.chunks = new AnswerChunks(request, model);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    this.stream = ResponseStream.of(exchange);
  }

  @Override
  public void token(int index, String text) {
    stream.send(AnswerChunks.event(chunks.chunk(index, text, null)));
  }

  @Override
  public void finish(String reason, int cachedTokens) {
    stream.send(AnswerChunks.event(chunks.chunk(request.answerTokens(), "", reason)));
    if (request.includeUsage()) {
      stream.send(AnswerChunks.event(chunks.usageChunk(cachedTokens)));
    }
    stream.send(AnswerChunks.DONE);
    stream.end();
  }

  @Override
  public void abort() {
    stream.abort();
  }
}
