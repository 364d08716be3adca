package org.sedgeroad.check;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A form in which configurations are written. Adapters to platforms provide theirs as a service of
 * {@link java.util.ServiceLoader}; implementations are stateless.
 */
public interface ConfigurationFormat {
  /** The format whose fields have the product's own names. */
  ConfigurationFormat PRODUCT =
      new ConfigurationFormat() {
        @Override
        public String name() {
          return "product";
        }

        @Override
        public String fieldName(Field field) {
          return field.productName();
        }

        @Override
        public boolean isServed(JsonNode configuration) {
          return true;
        }
      };

  /** Returns the name by which operators choose the format, not null. */
  String name();

  /**
   * Returns the name of a field in this format, not null. A name with a dot is a path: {@code
   * engine.slots} is the field {@code slots} of the object {@code engine}.
   */
  String fieldName(Field field);

  /**
   * Returns whether an instance would put a configuration into force at all. Throws nothing,
   * whatever the content is.
   *
   * @param configuration JSON object, not null
   */
  boolean isServed(JsonNode configuration);
}
