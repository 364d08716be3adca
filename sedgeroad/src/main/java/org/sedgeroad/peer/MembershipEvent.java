package org.sedgeroad.peer;

import org.sedgeroad.event.LogEvent;

/**
 * A change in the state of an instance.
 *
 * @param event what happened
 * @param instance name of the instance
 * @param domain failure domain of the instance
 */
public record MembershipEvent(LogEvent event, String instance, String domain) {}
