package org.sedgeroad.gateway;

import java.util.Objects;

/**
 * Configured options of a service.
 *
 * @param name name of the service, not null
 * @param engineSlots number of requests that each model engine of the service processes at once, 0
 *     for a plain service
 * @param cacheTokens number of tokens that each model engine has memory for, shared by running
 *     requests and cached prompts; 0 if it is not known
 */
public record ServiceOptions(String name, int engineSlots, int cacheTokens) {

  /**
   * Checks the name.
   *
   * @throws NullPointerException if the name is null
   */
  public ServiceOptions {
    Objects.requireNonNull(name);
  }
}
