package org.sedgeroad.job;

import java.util.function.Consumer;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineListener;
import org.sedgeroad.http.HttpHead;

/** Collects the answer to one item. */
final class ItemAnswer implements EngineListener {
  /** Receives status and body of a whole answer. */
  @FunctionalInterface
  interface Whole {
    void accept(int status, byte[] body);
  }

  private final Whole whole;
  private final Consumer<EngineFailure> failure;
  private int status;

  ItemAnswer(Whole whole, Consumer<EngineFailure> failure) {
    this.whole = whole;
    this.failure = failure;
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
    whole.accept(status, body);
  }

  @Override
  public void onFailure(EngineFailure reason) {
    failure.accept(reason);
  }
}
