package org.sedgeroad.job;

import java.util.function.Consumer;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineListener;
import org.sedgeroad.http.HttpHead;

/** Collects the answer to one item. */
final class ItemAnswerListener implements EngineListener {
  /** Receives status and body of a whole answer. */
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
    // Items are sent without streaming; a stream's events would not be a whole body.
  }

  @Override
  public void onWhole(byte[] body) {
    completeHandler.accept(status, body);
  }

  @Override
  public void onFailure(EngineFailure reason) {
    failureHandler.accept(reason);
  }
}
