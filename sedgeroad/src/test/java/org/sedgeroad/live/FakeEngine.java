package org.sedgeroad.live;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.engine.EngineCallHandle;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineListener;
import org.sedgeroad.http.HttpHead;

/**
 * Engine client with scripted answers: the first call gets the first script, and so on. Probes of
 * endpoints are answered without a script.
 */
final class FakeEngine implements EngineClient {
  /** Call that the engine has received, with the listener to which the script passes the answer. */
  record ReceivedCall(EngineCall call, EngineListener listener) {
    ReceivedCall answerHead(String type) {
      listener.onHead(new HttpHead(200, Map.of("Content-Type", type)));
      return this;
    }

    ReceivedCall answerStream(String... texts) {
      answerHead("text/event-stream");
      for (String text : texts) {
        listener.onEvent("{\"choices\":[{\"index\":0,\"text\":\"" + text + "\"}]}");
      }
      return this;
    }

    void end() {
      listener.onComplete(new byte[0]);
    }

    void breakConnection() {
      listener.onFailure(new EngineFailure.Broken("connection reset"));
    }

    void refuseConnection(boolean draining) {
      listener.onFailure(new EngineFailure.NotRun("refused", draining));
    }

    String body() {
      return new String(call.body(), StandardCharsets.UTF_8);
    }
  }

  final List<ReceivedCall> receivedCalls = new ArrayList<>();
  final List<String> cancelled = new ArrayList<>();

  /** Ports of crashed endpoints, which refuse connections. */
  Set<Integer> crashedPorts = new HashSet<>();

  private final List<Consumer<ReceivedCall>> scripts;

  @SafeVarargs
  FakeEngine(Consumer<ReceivedCall>... scripts) {
    this.scripts = List.of(scripts);
  }

  @Override
  public synchronized EngineCallHandle start(EngineCall call, EngineListener listener) {
    if (call.address().getPath().equals("/load")) {
      if (crashedPorts.contains(call.address().getPort())) {
        listener.onFailure(new EngineFailure.NotRun("Connection refused", false));
      } else {
        listener.onHead(new HttpHead(200, Map.of()));
        listener.onComplete(new byte[0]);
      }
      return () -> {};
    }
    ReceivedCall next = new ReceivedCall(call, listener);
    receivedCalls.add(next);
    if (receivedCalls.size() <= scripts.size()) {
      scripts.get(receivedCalls.size() - 1).accept(next);
    }
    return () -> cancelled.add(call.requestId());
  }
}
