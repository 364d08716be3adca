package org.sedgeroad.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * Properties of a model that a statement gives; each is empty if the statement omits it.
 *
 * @param service service whose endpoints serve the model
 * @param path path prefix, which makes the model a plain service
 * @param slots concurrent streams that one endpoint runs without queueing
 * @param fencing whether the engines check fencing numbers
 */
public record ModelOptions(
    Optional<String> service,
    Optional<String> path,
    Optional<Integer> slots,
    Optional<Boolean> fencing) {
  /** Options in which every property is empty. */
  static final ModelOptions NONE =
      new ModelOptions(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

  /** Returns these properties, overridden by those that the other options give. */
  ModelOptions plus(ModelOptions other) {
    return new ModelOptions(
        other.service.or(() -> service),
        other.path.or(() -> path),
        other.slots.or(() -> slots),
        other.fencing.or(() -> fencing));
  }

  ModelOptions withService(String value) {
    return new ModelOptions(Optional.of(value), path, slots, fencing);
  }

  ModelOptions withPath(String value) {
    return new ModelOptions(service, Optional.of(value), slots, fencing);
  }

  ModelOptions withSlots(int value) {
    return new ModelOptions(service, path, Optional.of(value), fencing);
  }

  ModelOptions withFencing(boolean value) {
    return new ModelOptions(service, path, slots, Optional.of(value));
  }

  /** Writes the given properties into the spec of a model. */
  void writeTo(ObjectNode spec) {
    service.ifPresent(value -> spec.put("service", value));
    path.ifPresent(value -> spec.put("kind", "plain").put("path_prefix", value));
    slots.ifPresent(value -> spec.put("slots", value));
    fencing.ifPresent(value -> spec.put("fencing", value));
  }
}
