package org.sedgeroad.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoredObject;

/** Guards against withdrawn keys that are used again and valid keys that are refused. */
class AuthenticatorTest {
  private final ConfigurationReplica replica = new ConfigurationReplica();
  private final Authenticator authenticator = new Authenticator(replica);
  private long version;

  private void store(String... keys) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    for (String key : keys) {
      spec.withArray("keys").add(key);
    }
    replica.apply(new StoredObject(Kinds.MEMBERS, "desk", ++version, spec));
  }

  @Nested
  class Update {
    /** Keys were removed before the new ones were added, and a request in between was refused. */
    @Test
    void keepsAKeyThatStaysValidAllTheTime() throws InterruptedException {
      store("stays");
      AtomicBoolean stopped = new AtomicBoolean();
      Thread updater =
          new Thread(
              () -> {
                for (int number = 0; number < 20_000; number++) {
                  store("stays", "k" + number);
                }
                stopped.set(true);
              });
      updater.start();
      while (!stopped.get()) {
        assertTrue(authenticator.findMember("stays").isPresent());
      }
      updater.join();
    }

    @Test
    void withdrawsAKey() {
      store("old", "new");
      store("new");
      assertFalse(authenticator.findMember("old").isPresent());
      assertEquals(Optional.of("desk"), authenticator.findMember("new"));
    }

    /** A late read of an older state must not bring a withdrawn key back. */
    @Test
    void isNotUndoneByAnOlderState() {
      store("old");
      store("new");
      StoredObject before =
          new StoredObject(
              Kinds.MEMBERS,
              "desk",
              1,
              JsonNodeFactory.instance
                  .objectNode()
                  .set("keys", JsonNodeFactory.instance.arrayNode().add("old")));
      replica.apply(before);
      assertFalse(authenticator.findMember("old").isPresent());
    }
  }
}
