package org.sedgeroad.check;

/** Fields of a configuration document, with their names in the product's own terms. */
public enum Field {
  /** Version of the configuration. */
  VERSION("version"),
  /** List of routes. */
  ROUTES("routes"),
  /** Name of a route, service or workspace. */
  NAME("name"),
  /** Host of a route. */
  HOST("host"),
  /** Path prefix of a route. */
  PATH_PREFIX("pathPrefix"),
  /** Kind of the requests of a route. */
  KIND("kind"),
  /** Only service of a route, or the service of a part of a split. */
  SERVICE("service"),
  /** List of services with weights of a route. */
  SPLIT("split"),
  /** Weight of a service in a split. */
  WEIGHT("weight"),
  /** Priority of a route or workspace. */
  PRIORITY("priority"),
  /** Maximum number of endpoints at which a request may run. */
  MAXIMUM_ENDPOINTS("maximumEndpoints"),
  /** Timeout of a route, in milliseconds. */
  TIMEOUT("timeoutMillis"),
  /** Objective of a route, in milliseconds. */
  OBJECTIVE("objectiveMillis"),
  /** Whether streams of a route may be resumed. */
  RESUMABLE("resumable"),
  /** Whether a route needs no key. */
  PUBLIC("public"),
  /** Time until the results of a job are due, in milliseconds. */
  RUN_TARGET("runTargetMillis"),
  /** Limit on waiting tokens of a batch route. */
  WAITING_TOKENS("maximumWaitingTokens"),
  /** List of services. */
  SERVICES("services"),
  /** Slots of each engine of a service. */
  ENGINE_SLOTS("engineSlots"),
  /** Memory of each engine of a service, in tokens. */
  ENGINE_TOKENS("engineTokens"),
  /** List of workspaces. */
  WORKSPACES("workspaces"),
  /** Keys of a workspace. */
  KEYS("keys"),
  /** Requests per second of a workspace. */
  RATE("requestsPerSecond"),
  /** Burst of a workspace, in requests. */
  BURST("burst"),
  /** Limits on the requests and connections of clients. */
  LIMITS("limits"),
  /** Largest header section, in bytes. */
  HEADER_BYTES("headerBytes"),
  /** Largest body, in bytes. */
  BODY_BYTES("bodyBytes"),
  /** Longest time without a request on a connection, in milliseconds. */
  IDLE_TIMEOUT("idleTimeoutMillis");

  private final String productName;

  Field(String productName) {
    this.productName = productName;
  }

  /** Returns the name in the product's own terms. */
  public String productName() {
    return productName;
  }
}
