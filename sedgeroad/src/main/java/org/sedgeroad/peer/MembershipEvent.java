package org.sedgeroad.peer;

import org.sedgeroad.event.LogEvent;

/**
 * A change of what is believed of an instance.
 *
 * @param event what happened
 * @param instance name of the instance
 * @param domain its failure domain
 */
public record MembershipEvent(LogEvent event, String instance, String domain) {}
