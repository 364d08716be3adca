package org.sedgeroad.presence;

/** A message about load or crashes, sent from one instance to others in one datagram. */
public sealed interface LoadMessage permits LoadReport, LoadSummary, CrashNews {}
