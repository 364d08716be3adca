package org.sedgeroad.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The receiving side of a connection, which fails a read if the bytes are not a valid answer. Used
 * on the connection's I/O thread.
 */
final class ValidatedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
  private final AnswerValidator validator = new AnswerValidator();

  /** Creates a source that validates what another one receives. */
  ValidatedSource(StreamSourceConduit next) {
    super(next);
  }

  /** Returns the state of the answer in progress. */
  AnswerValidator validator() {
    return validator;
  }

  /**
   * Returns whether another request may be sent: the connection is open, and nothing has arrived
   * since the last answer.
   */
  boolean isIdle() {
    try {
      return !validator.hasBytesAfterEnd() && next.read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException closed) {
      return false;
    }
  }

  /**
   * Receives bytes.
   *
   * @throws InvalidAnswerException if they are not a part of a valid answer
   */
  @Override
  public int read(ByteBuffer target) throws IOException {
    ByteBuffer received = target.duplicate();
    int count = next.read(target);
    if (count > 0) {
      received.limit(target.position());
      validator.accept(received);
    }
    return count;
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    for (int index = offset; index < offset + length; index++) {
      if (targets[index].hasRemaining()) {
        return read(targets[index]);
      }
    }
    return 0;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    return Conduits.transfer(this, count, throughBuffer, target);
  }
}
