package org.sedgeroad.gateway;

import java.util.Objects;

/**
 * What the configuration says of a service.
 *
 * @param name name of the service, not null
 * @param engineSlots requests that a model engine processes at once, 0 for a plain service
 */
public record ServiceTerms(String name, int engineSlots) {

  /** Checks that the name is not null. */
  public ServiceTerms {
    Objects.requireNonNull(name);
  }
}
