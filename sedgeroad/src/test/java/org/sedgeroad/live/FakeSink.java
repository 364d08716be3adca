package org.sedgeroad.live;

/** Sink that records what the caller would receive. */
final class FakeSink implements AnswerSink {
  final StringBuilder text = new StringBuilder();
  boolean ended;
  LiveFailure failure;
  byte[] completeBody;

  @Override
  public void sendEvent(String data) {
    text.append(StreamText.of(data).orElseThrow().text());
  }

  @Override
  public void endStream() {
    ended = true;
  }

  @Override
  public void sendComplete(int status, String contentType, byte[] body) {
    completeBody = body;
  }

  @Override
  public void fail(LiveFailure reason) {
    failure = reason;
  }
}
