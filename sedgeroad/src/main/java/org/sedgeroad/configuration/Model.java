package org.sedgeroad.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * A model, or a plain service (routed by path prefix), that callers can address.
 *
 * @param name name by which callers address it
 * @param service name of the service whose endpoints run the requests
 * @param plain whether this is a plain service
 * @param pathPrefix path prefix of a plain service, empty for models
 * @param slots number of concurrent streams that one endpoint runs without queueing
 * @param fencing whether the engines of the service check fencing numbers
 */
public record Model(
    String name, String service, boolean plain, String pathPrefix, int slots, boolean fencing) {
  private static final int DEFAULT_SLOTS = 8;

  /** Returns the model described by the store object with the given name and spec. */
  public static Model fromSpec(String name, JsonNode spec) {
    return new Model(
        name,
        spec.path("service").asText(name),
        spec.path("kind").asText().equals("plain"),
        spec.path("path_prefix").asText(""),
        spec.path("slots").asInt(DEFAULT_SLOTS),
        spec.path("fencing").asBoolean(false));
  }

  /** Returns the model or plain service with the given name, empty if there is none. */
  public static Optional<Model> find(ConfigurationReplica replica, String name) {
    return replica.find(Kinds.MODELS, name).map(object -> fromSpec(name, object.spec()));
  }

  /** Returns the plain service with the longest matching path prefix, empty if none matches. */
  public static Optional<Model> findByPath(ConfigurationReplica replica, String path) {
    return replica.list(Kinds.MODELS).stream()
        .map(object -> fromSpec(object.name(), object.spec()))
        .filter(model -> model.plain() && matches(path, model.pathPrefix()))
        .max((left, right) -> left.pathPrefix().length() - right.pathPrefix().length());
  }

  private static boolean matches(String path, String prefix) {
    return !prefix.isEmpty() && (path.equals(prefix) || path.startsWith(prefix + "/"));
  }
}
