package org.sedgeroad.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes jobs, items and results for the store and for other instances.
 *
 * <p>In the store, a job consists of a head object and of further objects with its items and its
 * results.
 */
final class JobCodec {
  private JobCodec() {}

  static ObjectNode encode(JobHead head) {
    return newObject()
        .put("host", head.host())
        .put("path", head.path())
        .put("submitted_millis", head.submittedMillis())
        .put("item_count", head.itemCount())
        .put("item_objects", head.itemObjects())
        .put("tokens", head.tokens())
        .put("owner", head.owner())
        .put("route", head.route())
        .put("configuration_version", head.configurationVersion())
        .put("workspace", head.workspace())
        .put("ended", head.ended());
  }

  static JobHead decodeHead(String id, JsonNode spec) {
    return new JobHead(
        id,
        spec.path("host").asText(),
        spec.path("path").asText(),
        spec.path("submitted_millis").asLong(),
        spec.path("item_count").asInt(),
        spec.path("item_objects").asInt(),
        spec.path("tokens").asLong(),
        spec.path("owner").asText(),
        spec.path("route").asText(),
        spec.path("configuration_version").asLong(),
        spec.path("workspace").asText(),
        spec.path("ended").asBoolean());
  }

  static ObjectNode encodeItems(List<ItemSpec> items) {
    ObjectNode root = newObject();
    ArrayNode list = root.putArray("items");
    for (ItemSpec item : items) {
      ObjectNode entry = list.addObject();
      entry.put("id", item.id()).put("target", item.target());
      entry.put("body", item.body()).put("tokens", item.tokens());
      ObjectNode headers = entry.putObject("headers");
      item.headers().forEach(headers::put);
    }
    return root;
  }

  static List<ItemSpec> decodeItems(JsonNode spec) {
    List<ItemSpec> items = new ArrayList<>();
    for (JsonNode entry : spec.path("items")) {
      Map<String, String> headers = new HashMap<>();
      entry
          .path("headers")
          .fields()
          .forEachRemaining(field -> headers.put(field.getKey(), field.getValue().asText()));
      items.add(
          new ItemSpec(
              entry.path("id").asText(),
              entry.path("target").asText(),
              headers,
              entry.path("body").asText(),
              entry.path("tokens").asLong()));
    }
    return items;
  }

  static ObjectNode encodeResults(List<JobResult> results) {
    ObjectNode root = newObject();
    ArrayNode list = root.putArray("results");
    for (JobResult result : results) {
      list.addObject()
          .put("id", result.id())
          .put("completed", result.completed())
          .put("output", result.output());
    }
    return root;
  }

  static List<JobResult> decodeResults(JsonNode spec) {
    List<JobResult> results = new ArrayList<>();
    for (JsonNode entry : spec.path("results")) {
      results.add(
          new JobResult(
              entry.path("id").asText(),
              entry.path("completed").asBoolean(),
              entry.path("output").asText()));
    }
    return results;
  }

  static ObjectNode encode(ResultPage page) {
    ObjectNode root = encodeResults(page.results());
    return root.put("total", page.total()).put("next", page.next());
  }

  static ResultPage decodePage(JsonNode node) {
    return new ResultPage(
        node.path("total").asInt(), node.path("next").asInt(), decodeResults(node));
  }

  private static ObjectNode newObject() {
    return JsonNodeFactory.instance.objectNode();
  }
}
