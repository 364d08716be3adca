package org.sedgeroad.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * A model or plain service that callers can name.
 *
 * @param name name that callers use
 * @param service service whose endpoints serve it
 * @param plain whether it is a plain service, routed by path prefix
 * @param pathPrefix path prefix of a plain service, empty for models
 * @param slots concurrent streams that one endpoint runs without queueing
 * @param fencing whether the service's engines check fencing numbers
 */
public record Model(
    String name, String service, boolean plain, String pathPrefix, int slots, boolean fencing) {
  private static final int DEFAULT_SLOTS = 8;

  /** Reads a model from the spec of its object. */
  public static Model fromSpec(String name, JsonNode spec) {
    return new Model(
        name,
        spec.path("service").asText(name),
        spec.path("kind").asText().equals("plain"),
        spec.path("path_prefix").asText(""),
        spec.path("slots").asInt(DEFAULT_SLOTS),
        spec.path("fencing").asBoolean(false));
  }

  /** Finds a model by name. */
  public static Optional<Model> find(ConfigurationReplica replica, String name) {
    return replica.find(Kinds.MODELS, name).map(object -> fromSpec(name, object.spec()));
  }

  /** Finds the plain service with the longest path prefix that matches. */
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
