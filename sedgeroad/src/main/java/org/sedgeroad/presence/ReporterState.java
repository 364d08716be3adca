package org.sedgeroad.presence;

/**
 * State of an instance whose report is part of a summary.
 *
 * @param incarnation number of the process that sent the report
 * @param sequence number of the report
 * @param ageMillis time since the hub received the report, in milliseconds
 * @param leaving whether the instance is stopping and has given up its jobs
 */
public record ReporterState(long incarnation, long sequence, int ageMillis, boolean leaving) {}
