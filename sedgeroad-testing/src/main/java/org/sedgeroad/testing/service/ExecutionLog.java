package org.sedgeroad.testing.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.testing.http.Answers;

/** Log of the executed calls, with their counts by request id and by body. Thread-safe. */
final class ExecutionLog {
  private final List<Execution> executions = new ArrayList<>();
  private final Map<String, Integer> byRequestId = new LinkedHashMap<>();
  private final Map<String, Integer> byBody = new LinkedHashMap<>();

  /** Adds a call and returns the number of executed calls with the same body, at least 1. */
  synchronized int add(Execution execution) {
    executions.add(execution);
    if (!execution.requestId().isEmpty()) {
      byRequestId.merge(execution.requestId(), 1, Integer::sum);
    }
    return byBody.merge(execution.bodyHash(), 1, Integer::sum);
  }

  synchronized List<Execution> executions() {
    return List.copyOf(executions);
  }

  /** Returns the number of executed calls with the given request id. */
  synchronized int count(String requestId) {
    return byRequestId.getOrDefault(requestId, 0);
  }

  synchronized ObjectNode toJson() {
    ObjectNode root = Answers.MAPPER.createObjectNode();
    root.put("total", executions.size());
    root.set("by_request_id", Answers.MAPPER.valueToTree(byRequestId));
    root.set("by_body", Answers.MAPPER.valueToTree(byBody));
    var list = root.putArray("executions");
    executions.forEach(execution -> list.add(execution.toJson()));
    return root;
  }
}
