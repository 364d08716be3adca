package org.sedgeroad.testing.engine;

import io.undertow.server.HttpServerExchange;
import org.sedgeroad.testing.http.Answers;

/** Collects the tokens of a run and sends them as one answer at the end. */
final class CollectedOutput implements RunOutput {
  private final AnswerChunks chunks;
  private final HttpServerExchange exchange;
  private final StringBuilder text = new StringBuilder();

  CollectedOutput(GenerationRequest request, String model, HttpServerExchange exchange) {
    this.chunks = new AnswerChunks(request, model);
    this.exchange = exchange;
  }

  @Override
  public void token(int index, String token) {
    text.append(token);
  }

  @Override
  public void finish(String reason, int cachedTokens) {
    Answers.send(exchange, 200, chunks.completeAnswer(text.toString(), reason, cachedTokens));
  }

  @Override
  public void abort() {
    Answers.drop(exchange);
  }
}
