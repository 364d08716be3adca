package org.sedgeroad.presence;

/** A message about load, crashes or endpoints, sent from one instance to others in one datagram. */
public sealed interface LoadMessage permits LoadReport, LoadSummary, CrashNews, AnnouncementNews {}
