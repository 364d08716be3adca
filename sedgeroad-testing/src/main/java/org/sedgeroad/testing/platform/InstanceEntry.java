package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.Locale;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.ControlFields;

/** Static methods that convert entries of the instance list to and from JSON. */
final class InstanceEntry {
  private InstanceEntry() {}

  static ObjectNode toJson(Endpoint endpoint) {
    return Answers.MAPPER
        .createObjectNode()
        .put("name", endpoint.name())
        .put("service", endpoint.service())
        .put("address", endpoint.address().toString())
        .put("domain", endpoint.domain())
        .put("region", endpoint.region())
        .put("state", endpoint.state().name().toLowerCase(Locale.ROOT));
  }

  /**
   * Parses an entry; the state is live if it is missing.
   *
   * @throws IllegalArgumentException if another field is missing or a field is invalid
   */
  static Endpoint parse(JsonNode node) {
    String state = ControlFields.text(node, "state", "live").toUpperCase(Locale.ROOT);
    return new Endpoint(
        ControlFields.requiredText(node, "name"),
        ControlFields.requiredText(node, "service"),
        URI.create(ControlFields.requiredText(node, "address")),
        ControlFields.requiredText(node, "domain"),
        ControlFields.requiredText(node, "region"),
        EndpointState.valueOf(state));
  }
}
