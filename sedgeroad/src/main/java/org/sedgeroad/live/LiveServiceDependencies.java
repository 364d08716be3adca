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
 * Dependencies of a {@link LiveService}.
 *
 * @param endpoints endpoint table
 * @param placements listener for placements of live requests
 * @param policy routing policy
 * @param hints hints on cached prefixes, updated with each placement
 * @param hedging policy for second attempts
 * @param crashReportExchange detection of requests that crash endpoints
 * @param engine client for the endpoints
 * @param limits gate that enforces the voted limits of members
 * @param claims registry of claims on non-idempotent requests
 * @param clock monotonic clock
 * @param random source of randomness, thread-safe
 * @param log event log
 */
public record LiveServiceDependencies(
    EndpointTable endpoints,
    PlacementListener placements,
    RoutingPolicy policy,
    PrefixHints hints,
    HedgePolicy hedging,
    CrashReportExchange crashReportExchange,
    EngineClient engine,
    LimitGate limits,
    ClaimRegistry claims,
    MonotonicClock clock,
    RandomGenerator random,
    EventLog log) {}
