package org.sedgeroad.peer;

/**
 * A message between entry instances. Messages are small and typed; most carry a version or sequence
 * of their own.
 */
public sealed interface PeerMessage
    permits Heartbeat,
        EndpointNews,
        EndpointLost,
        QuarantineNews,
        LivePressure,
        ConfigurationDelta,
        ConfigurationPull,
        GrantRequest,
        Grant,
        LeaseRenewal,
        Leaving,
        Acknowledgement {}
