package org.sedgeroad.peer;

/**
 * Messages between entry instances. Each is small, typed and carries its own version or sequence.
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
