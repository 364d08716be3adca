package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.WriteOutcome;

/** Registers the addresses of this instance in the store. */
final class InstanceRegistration {
  private InstanceRegistration() {}

  /**
   * Creates the registration, or replaces that of an earlier process if the addresses differ.
   *
   * @param writer writes to the store
   * @param instance name of the instance
   * @param addresses addresses of the instance
   * @param workers runs the blocking calls
   * @param done receives whether the registration is in the store; called on a worker thread
   */
  static void write(
      StoreWriter writer,
      String instance,
      InstanceDirectory.Addresses addresses,
      Executor workers,
      Consumer<Boolean> done) {
    workers.execute(
        () -> {
          ObjectNode spec = InstanceDirectory.encode(addresses);
          WriteOutcome outcome = writer.create(InstanceDirectory.KIND, instance, spec);
          if (outcome instanceof WriteOutcome.Lost lost && lost.current() != null) {
            boolean same =
                spec.properties().stream()
                    .allMatch(
                        field ->
                            field.getValue().equals(lost.current().spec().get(field.getKey())));
            if (!same) {
              outcome =
                  writer.update(InstanceDirectory.KIND, instance, lost.current().version(), spec);
            } else {
              outcome = new WriteOutcome.Written(lost.current());
            }
          }
          done.accept(outcome instanceof WriteOutcome.Written);
        });
  }
}
