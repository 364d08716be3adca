package org.sedgeroad.live;

import java.util.random.RandomGenerator;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.limit.LimitGate;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.HedgePolicy;
import org.sedgeroad.route.PrefixHints;
import org.sedgeroad.route.RoutingPolicy;

/**
 * What a {@link LiveService} works with.
 *
 * @param endpoints endpoints and counts
 * @param placements learns of the requests' placements
 * @param policy routing policy
 * @param hints learns which endpoint got which prefix
 * @param hedging when second attempts are made
 * @param crashes requests that may crash endpoints
 * @param engine client for the endpoints
 * @param limits voted limits
 * @param claims claims of non-idempotent requests
 * @param clock monotonic clock
 * @param random source of randomness, thread-safe
 * @param log event log
 */
public record LiveServiceParts(
    EndpointTable endpoints,
    PlacementListener placements,
    RoutingPolicy policy,
    PrefixHints hints,
    HedgePolicy hedging,
    CrashReports crashes,
    EngineClient engine,
    LimitGate limits,
    ClaimBook claims,
    MonotonicClock clock,
    RandomGenerator random,
    EventLog log) {}
