package org.sedgeroad.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Reads a stream of server-sent events over a plain socket, so that tests control when the
 * connection closes.
 */
public final class StreamedAnswer {
  private static final String PREFIX = "data: ";

  /** Data of the events received so far. */
  public final List<String> events = new CopyOnWriteArrayList<>();

  /** Completes with true if the last chunk of the body arrived, and with false otherwise. */
  public final CompletableFuture<Boolean> whole = new CompletableFuture<>();

  private final Socket socket;

  private StreamedAnswer(Socket socket) {
    this.socket = socket;
  }

  /** Sends a POST and starts a thread that reads the answer. */
  public static StreamedAnswer post(
      URI base, String path, String body, Map<String, String> headers) {
    try {
      StreamedAnswer answer = new StreamedAnswer(new Socket(base.getHost(), base.getPort()));
      StringBuilder request = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: test\r\n");
      headers.forEach((name, value) -> request.append(name + ": " + value + "\r\n"));
      request.append("Content-Length: " + body.length() + "\r\n\r\n" + body);
      answer.socket.getOutputStream().write(request.toString().getBytes(StandardCharsets.UTF_8));
      Thread reader = new Thread(answer::read, "streamed-answer");
      reader.setDaemon(true);
      reader.start();
      return answer;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Closes the connection, as a caller that disconnects does. */
  public void cancel() {
    try {
      socket.close();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the text of all completion events received so far. */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (String event : events) {
      if (event.startsWith("{")) {
        try {
          JsonNode choice = new ObjectMapper().readTree(event).path("choices").path(0);
          text.append(choice.path("text").asText(""));
          text.append(choice.path("delta").path("content").asText(""));
        } catch (IOException failure) {
          throw new UncheckedIOException(failure);
        }
      }
    }
    return text.toString();
  }

  private void read() {
    boolean lastChunk = false;
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null && !lastChunk; line = lines.readLine()) {
        lastChunk = line.equals("0");
        if (line.startsWith(PREFIX)) {
          events.add(line.substring(PREFIX.length()));
        }
      }
    } catch (IOException failure) {
      lastChunk = false;
    }
    whole.complete(lastChunk);
  }
}
