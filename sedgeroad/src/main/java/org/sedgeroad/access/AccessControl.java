package org.sedgeroad.access;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.gateway.Refusal;
import org.sedgeroad.gateway.RequestPermit;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.gateway.RouteTableHolder;

/**
 * Applies {@link AccessPolicy} and the quotas to requests, at their arrival and before each send.
 * Used on the event loop.
 */
public final class AccessControl {
  /**
   * Time after which a client may retry whose key could not be checked, in milliseconds; the
   * instance then learns of the newest configuration, or the client reaches another instance.
   */
  private static final long UNCERTAIN_RETRY_MILLIS = 200;

  private final RouteTableHolder routes;
  private final ConfigurationAge age;
  private final LongSupplier newestPeerVersion;
  private final QuotaGate quotas;
  private final MonotonicClock clock;

  /** Result of the check of a request at its arrival. */
  public sealed interface Admission {
    /**
     * The request is handled.
     *
     * @param permit permission to send it
     */
    record Admitted(RequestPermit permit) implements Admission {}

    /**
     * The request is refused; it has not run.
     *
     * @param workspace name of the workspace that sent it, empty if unknown
     * @param refusal the refusal
     */
    record Refused(String workspace, Refusal refusal) implements Admission {}
  }

  /** Result of the check of a call about jobs. */
  public sealed interface JobAdmission {
    /**
     * The call is handled.
     *
     * @param workspace name of the caller's workspace, empty without one
     * @param access jobs that the caller may see
     */
    record Admitted(String workspace, JobAccess access) implements JobAdmission {}

    /**
     * The call is refused.
     *
     * @param refusal the refusal
     */
    record Refused(Refusal refusal) implements JobAdmission {}
  }

  /**
   * Creates the access control of an instance.
   *
   * @param routes holds the configuration in force, not null
   * @param age age of that configuration, not null
   * @param newestPeerVersion returns the newest version in force at another instance, not null
   * @param quotas quotas of the workspaces, not null
   * @param clock monotonic clock, not null
   */
  public AccessControl(
      RouteTableHolder routes,
      ConfigurationAge age,
      LongSupplier newestPeerVersion,
      QuotaGate quotas,
      MonotonicClock clock) {
    this.routes = routes;
    this.age = age;
    this.newestPeerVersion = newestPeerVersion;
    this.quotas = quotas;
    this.clock = clock;
  }

  /** Returns whether the age of the configuration is known as far as it matters. */
  public boolean isReady() {
    return !age.isBounded() || !routes.current().workspaces().isRequired() || age.isConfirmed();
  }

  /**
   * Returns the monotonic time until which requests with keys are served if nothing confirms the
   * configuration before, in nanoseconds; empty if that time is not bounded.
   */
  public OptionalLong expiresAtNanos() {
    return age.isBounded() && routes.current().workspaces().isRequired() && age.isConfirmed()
        ? OptionalLong.of(age.expiresAtNanos())
        : OptionalLong.empty();
  }

  private Freshness freshness() {
    return age.freshness(newestPeerVersion.getAsLong());
  }

  /** Checks a request that has arrived on a route. */
  public Admission admit(Route route, Credential credential) {
    WorkspacePermit permit = new WorkspacePermit(route, credential);
    return permit
        .check()
        .or(permit::quotaRefusal)
        .<Admission>map(refusal -> new Admission.Refused(permit.workspace(), refusal))
        .orElseGet(() -> new Admission.Admitted(permit));
  }

  /**
   * Checks a call about jobs: the submission of a job on a batch route, or a call about one that
   * was accepted.
   */
  public JobAdmission admitJobCall(Credential credential) {
    if (!routes.isKnown()) {
      return age.isBounded()
          ? new JobAdmission.Refused(uncertain("no configuration is known yet"))
          : new JobAdmission.Admitted("", JobAccess.UNKNOWN_CALLER);
    }
    WorkspaceDirectory directory = routes.current().workspaces();
    AccessDecision decision = AccessPolicy.decide(directory, false, credential, freshness());
    if (decision instanceof AccessDecision.Allowed allowed) {
      return allowed
          .workspace()
          .map(Workspace::name)
          .map(name -> new JobAdmission.Admitted(name, JobAccess.of(name)))
          .orElseGet(() -> new JobAdmission.Admitted("", JobAccess.ALL));
    }
    return new JobAdmission.Refused(refusal(decision));
  }

  private Refusal refusal(AccessDecision decision) {
    return decision instanceof AccessDecision.Uncertain uncertain
        ? uncertain(uncertain.reason())
        : Refusal.of(Refusal.Reason.UNAUTHORIZED, "no valid key");
  }

  private Refusal uncertain(String reason) {
    return new Refusal(
        Refusal.Reason.NOT_RUN, reason, clock.deadlineAfterMillis(UNCERTAIN_RETRY_MILLIS));
  }

  /** Permission that depends on the workspace that holds the key of the request. */
  private final class WorkspacePermit implements RequestPermit {
    private final Route route;
    private final Credential credential;
    private Optional<Workspace> workspace = Optional.empty();

    /** Workspace whose quota the request was counted against, empty if it was not counted. */
    private Optional<Workspace> counted = Optional.empty();

    /** Number of sends that may have reached an endpoint. */
    private int sends;

    WorkspacePermit(Route route, Credential credential) {
      this.route = route;
      this.credential = credential;
    }

    /** Checks the key in the configuration in force and updates the workspace. */
    Optional<Refusal> check() {
      WorkspaceDirectory directory = routes.current().workspaces();
      AccessDecision decision =
          AccessPolicy.decide(directory, route.isPublic(), credential, freshness());
      if (decision instanceof AccessDecision.Allowed allowed) {
        workspace = allowed.workspace();
        return Optional.empty();
      }
      return Optional.of(refusal(decision));
    }

    /** Returns a refusal if the workspace has used up its quota. */
    Optional<Refusal> quotaRefusal() {
      return workspace.filter(each -> !quotas.allows(each)).map(this::overQuota);
    }

    private Refusal overQuota(Workspace exceeded) {
      return new Refusal(
          Refusal.Reason.OVER_QUOTA,
          "the quota of workspace " + exceeded.name() + " is used up",
          quotas.retryAtNanos(exceeded));
    }

    @Override
    public String workspace() {
      return workspace.map(Workspace::name).orElse("");
    }

    @Override
    public OptionalInt priority() {
      return workspace.map(Workspace::priority).orElse(OptionalInt.empty());
    }

    @Override
    public boolean hidesCredentials() {
      return routes.current().workspaces().isRequired() || workspace.isPresent();
    }

    @Override
    public Optional<Refusal> beforeSend() {
      Optional<Refusal> refusal = check();
      if (refusal.isPresent()) {
        return refusal;
      }
      if (counted.isEmpty() && sends == 0 && workspace.isPresent()) {
        if (!quotas.take(workspace.get())) {
          return Optional.of(overQuota(workspace.get()));
        }
        counted = workspace;
      }
      sends++;
      return Optional.empty();
    }

    @Override
    public void notSent() {
      sends--;
      if (sends == 0) {
        counted.ifPresent(quotas::giveBack);
        counted = Optional.empty();
      }
    }
  }
}
