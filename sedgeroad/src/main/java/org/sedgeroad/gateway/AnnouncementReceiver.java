package org.sedgeroad.gateway;

import java.nio.ByteBuffer;
import org.sedgeroad.announcement.EndpointAnnouncements;
import org.sedgeroad.http.HttpFailure;

/** Records what endpoints announce about themselves in the answers to all calls of a client. */
public final class AnnouncementReceiver implements EndpointClient {
  private final EndpointClient client;
  private final EndpointAnnouncements announcements;

  /** Creates a receiver; no argument may be null. */
  public AnnouncementReceiver(EndpointClient client, EndpointAnnouncements announcements) {
    this.client = client;
    this.announcements = announcements;
  }

  @Override
  public EndpointExchange start(EndpointCall call, EndpointAnswerListener listener) {
    return client.start(call, new Listener(call.endpoint().incarnation(), listener));
  }

  private final class Listener implements EndpointAnswerListener {
    private final String endpoint;
    private final EndpointAnswerListener next;

    Listener(String endpoint, EndpointAnswerListener next) {
      this.endpoint = endpoint;
      this.next = next;
    }

    @Override
    public void onAnswer(EndpointAnswer answer) {
      announcements.record(endpoint, answer.announcement());
      next.onAnswer(answer);
    }

    @Override
    public boolean needsBody() {
      return next.needsBody();
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
      next.onBytes(bytes);
    }

    @Override
    public boolean isFinal() {
      return next.isFinal();
    }

    @Override
    public void onEnd() {
      next.onEnd();
    }

    @Override
    public void onFailure(HttpFailure failure) {
      next.onFailure(failure);
    }
  }
}
