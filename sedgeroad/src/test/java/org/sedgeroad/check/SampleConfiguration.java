package org.sedgeroad.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A configuration without faults, which tests change. */
final class SampleConfiguration {
  static final CheckOptions OPTIONS = new CheckOptions(5_000, 1_000);

  private static final String TEXT =
      """
      {"version": 7,
       "routes": [
        {"name": "chat", "host": "desk.example", "pathPrefix": "/chat/", "kind": "streaming",
         "service": "engine", "priority": 0, "maximumEndpoints": 2, "timeoutMillis": 5000,
         "objectiveMillis": 300, "resumable": true},
        {"name": "jobs", "host": "desk.example", "pathPrefix": "/jobs/", "kind": "batch",
         "split": [{"service": "engine", "weight": 3}, {"service": "spare", "weight": 1}],
         "maximumEndpoints": 3, "objectiveMillis": 600, "runTargetMillis": 18000,
         "maximumWaitingTokens": 1600000}],
       "services": [{"name": "engine", "engineSlots": 8, "engineTokens": 72000},
                    {"name": "spare"}],
       "workspaces": [
        {"name": "lenga", "requestsPerSecond": 5, "burst": 8, "keys": ["secret-a", "secret-b"]},
        {"name": "coihue", "priority": 1, "keys": ["secret-c"]}],
       "limits": {"headerBytes": 16384, "bodyBytes": 1048576}}
      """;

  private final ObjectNode root;

  SampleConfiguration() {
    try {
      root = (ObjectNode) new ObjectMapper().readTree(TEXT);
    } catch (JsonProcessingException invalid) {
      throw new IllegalStateException(invalid);
    }
  }

  ObjectNode root() {
    return root;
  }

  ArrayNode list(String name) {
    return (ArrayNode) root.path(name);
  }

  ObjectNode entry(String list, int index) {
    return (ObjectNode) root.path(list).path(index);
  }

  /** Adds a copy of an entry with another name. */
  ObjectNode copy(String list, int index, String name) {
    ObjectNode copy = entry(list, index).deepCopy().put("name", name);
    list(list).add(copy);
    return copy;
  }

  ConfigurationReader.Result read() {
    return read(root.toString());
  }

  ConfigurationDocument document() {
    return read().document();
  }

  /** Returns severity and place of all findings of the reader and the checks, as texts. */
  List<String> findings() {
    ConfigurationReader.Result result = read();
    List<Finding> findings = new ArrayList<>(result.findings());
    findings.addAll(ConfigurationCheck.check(result.document(), OPTIONS));
    return places(findings);
  }

  static List<String> places(List<Finding> findings) {
    return findings.stream()
        .map(finding -> finding.severity().text() + " " + finding.place())
        .toList();
  }

  static ConfigurationReader.Result read(String text) {
    try {
      return ConfigurationReader.read(
          text.getBytes(StandardCharsets.UTF_8), ConfigurationFormat.PRODUCT);
    } catch (UnreadableConfigurationException unreadable) {
      throw new IllegalStateException(unreadable);
    }
  }
}
