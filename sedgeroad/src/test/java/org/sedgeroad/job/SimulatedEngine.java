package org.sedgeroad.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.engine.EngineCallHandle;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineListener;
import org.sedgeroad.http.HttpHead;

/**
 * Engine client that sends nothing; the test ends its calls by {@link #endRandomCall}. Items whose
 * prompt contains "poison" always fail.
 */
final class SimulatedEngine implements EngineClient {
  private final List<Call> open = new ArrayList<>();
  private final Map<String, Integer> sendCounts = new HashMap<>();
  private final Set<String> heldPrompts = new HashSet<>();
  private boolean refusing;

  @Override
  public EngineCallHandle start(EngineCall call, EngineListener listener) {
    if (refusing) {
      listener.onFailure(new EngineFailure.NotRun("connection refused", false));
      return () -> {};
    }
    String body = new String(call.body(), StandardCharsets.UTF_8);
    Call started = new Call(body, listener);
    open.add(started);
    sendCounts.merge(promptOf(body), 1, Integer::sum);
    return () -> end(started, () -> listener.onFailure(new EngineFailure.Broken("cancelled")));
  }

  /** Sets whether the endpoint refuses connections. */
  void setRefusing(boolean value) {
    refusing = value;
  }

  /** Keeps the calls of the item with a prompt open until they are broken or cancelled. */
  void hold(String prompt) {
    heldPrompts.add(prompt);
  }

  /** Lets the calls of all items end again. */
  void releaseAll() {
    heldPrompts.clear();
  }

  /** Breaks the connections of all open calls. */
  void breakAllCalls() {
    for (Call call : List.copyOf(open)) {
      end(call, () -> call.listener().onFailure(new EngineFailure.Broken("connection lost")));
    }
  }

  /** Returns whether a call of the item with a prompt is open. */
  boolean isOpen(String prompt) {
    return open.stream().anyMatch(call -> promptOf(call.body()).equals(prompt));
  }

  int openCallCount() {
    return open.size();
  }

  /** Returns how often the item with a prompt was sent, without sends known not to have run. */
  int sendCount(String prompt) {
    return sendCounts.getOrDefault(prompt, 0);
  }

  /**
   * Ends a random open call with an answer or, with the given probability in percent, a failure.
   */
  void endRandomCall(Random random, int failurePercent) {
    List<Call> endable =
        open.stream().filter(call -> !heldPrompts.contains(promptOf(call.body()))).toList();
    if (endable.isEmpty()) {
      return;
    }
    Call call = endable.get(random.nextInt(endable.size()));
    if (call.body().contains("poison")) {
      end(call, () -> answer(call, 500));
    } else if (random.nextInt(100) < failurePercent) {
      EngineFailure failure =
          random.nextBoolean()
              ? new EngineFailure.Broken("connection lost")
              : new EngineFailure.NotRun("refused", false);
      if (failure instanceof EngineFailure.NotRun) {
        sendCounts.merge(promptOf(call.body()), -1, Integer::sum);
      }
      end(call, () -> call.listener().onFailure(failure));
    } else {
      end(call, () -> answer(call, 200));
    }
  }

  private static void answer(Call call, int status) {
    call.listener().onHead(new HttpHead(status, Map.of()));
    call.listener().onComplete("{\"choices\":[]}".getBytes(StandardCharsets.UTF_8));
  }

  private void end(Call call, Runnable listenerCall) {
    if (open.remove(call)) {
      listenerCall.run();
    }
  }

  private static String promptOf(String body) {
    int start = body.indexOf("\"prompt\":\"") + 10;
    return body.substring(start, body.indexOf('"', start));
  }

  private record Call(String body, EngineListener listener) {
    @Override
    public boolean equals(Object other) {
      return this == other;
    }

    @Override
    public int hashCode() {
      return System.identityHashCode(this);
    }
  }
}
