package org.sedgeroad.job;

import java.util.function.Consumer;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineListener;
import org.sedgeroad.http.HttpHead;

/** Passes the complete answer to one item, or its failure, to a callback. */
final class ItemAnswerListener implements EngineListener {
  /** Receives the status and body of a complete answer. */
  @FunctionalInterface
  interface CompleteAnswerHandler {
    void accept(int status, byte[] body);
  }

  private final CompleteAnswerHandler completeHandler;
  private final Consumer<EngineFailure> failureHandler;
  private int status;

  ItemAnswerListener(
      CompleteAnswerHandler completeHandler, Consumer<EngineFailure> failureHandler) {
    this.completeHandler = completeHandler;
    this.failureHandler = failureHandler;
  }

  @Override
  public void onHead(HttpHead head) {
    status = head.status();
  }

  @Override
  public void onEvent(String data) {
    // Items are sent without streaming, so no events are expected. Any that arrive are ignored,
    // since they are not a JSON body.
  }

  @Override
  public void onComplete(byte[] body) {
    completeHandler.accept(status, body);
  }

  @Override
  public void onFailure(EngineFailure reason) {
    failureHandler.accept(reason);
  }
}
