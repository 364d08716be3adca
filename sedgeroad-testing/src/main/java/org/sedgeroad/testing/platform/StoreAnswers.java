package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.testing.http.Answers;

/** Static methods that build the JSON answers of the object API. */
final class StoreAnswers {
  private StoreAnswers() {}

  static ObjectNode object(StoredObject object) {
    ObjectNode root = Answers.MAPPER.createObjectNode();
    ObjectNode metadata = root.putObject("metadata");
    metadata.put("name", object.name());
    metadata.put("resourceVersion", Long.toString(object.version()));
    root.set("spec", object.spec());
    return root;
  }

  static ObjectNode page(ObjectPage page, String continuation) {
    ObjectNode root = Answers.MAPPER.createObjectNode();
    ObjectNode metadata = root.putObject("metadata");
    metadata.put("resourceVersion", Long.toString(page.version()));
    if (!continuation.isEmpty()) {
      metadata.put("continue", continuation);
    }
    var items = root.putArray("items");
    page.objects().forEach(object -> items.add(object(object)));
    return root;
  }

  static ObjectNode event(Change change) {
    ObjectNode root = Answers.MAPPER.createObjectNode();
    root.put("type", change.type());
    root.set("object", object(change.object()));
    return root;
  }

  static ObjectNode status(int code, String reason, String message) {
    ObjectNode root = Answers.MAPPER.createObjectNode();
    root.put("kind", "Status").put("status", "Failure");
    return root.put("code", code).put("reason", reason).put("message", message);
  }
}
