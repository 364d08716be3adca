package org.sedgeroad.testing.engine;

import java.util.List;
import java.util.concurrent.ScheduledFuture;

/**
 * State of one run, which executes a generation request or continues an earlier run of it. Confined
 * to the engine's scheduler thread once it is submitted.
 */
final class Run {
  final GenerationRequest request;
  final RunOutput output;
  final long fingerprint;
  final List<Long> blocks;
  final int answerTokens;
  final long acceptedNanos;

  /** Number of tokens produced by the run that this one resumes; 0 if it resumes none. */
  final int producedBefore;

  /** Index of the first token to send. */
  final int offset;

  int produced;
  int cachedTokens;
  long queueWaitMicros;
  long nextTokenDueNanos;
  boolean ended;
  ScheduledFuture<?> nextTokenTask;

  private Run(
      GenerationRequest request, RunOutput output, int producedBefore, int offset, long now) {
    this.request = request;
    this.output = output;
    this.fingerprint = AnswerText.fingerprint(request.prompt());
    this.blocks = PromptText.blocks(request.prompt());
    this.answerTokens = request.answerTokens();
    this.producedBefore = producedBefore;
    this.offset = offset;
    this.produced = producedBefore;
    this.acceptedNanos = now;
  }

  static Run of(GenerationRequest request, RunOutput output, long nowNanos) {
    return new Run(request, output, 0, 0, nowNanos);
  }

  /**
   * Returns a run that continues where this one ended, after it has repeated the tokens from an
   * offset on.
   */
  Run resumed(RunOutput resumedOutput, int fromOffset, long nowNanos) {
    return new Run(request, resumedOutput, produced, fromOffset, nowNanos);
  }

  void cancelNextToken() {
    if (nextTokenTask != null) {
      nextTokenTask.cancel(false);
    }
  }
}
