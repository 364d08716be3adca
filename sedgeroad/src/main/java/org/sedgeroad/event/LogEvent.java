package org.sedgeroad.event;

import java.lang.System.Logger.Level;

/** Numbered log events. Numbers are never reused; docs/EVENTS.md lists each of them. */
public enum LogEvent {
  /** The instance serves callers. */
  INSTANCE_STARTED(1001, Level.INFO, "instance started"),
  /** A planned stop began. */
  INSTANCE_STOPPING(1002, Level.INFO, "instance stopping"),
  /** All threads and connections are closed. */
  INSTANCE_STOPPED(1003, Level.INFO, "instance stopped"),
  /** The settings file has faults; nothing was started. */
  SETTINGS_INVALID(1004, Level.ERROR, "settings invalid"),
  /** A call to the store failed. */
  STORE_UNAVAILABLE(2001, Level.WARNING, "store unavailable"),
  /** A watch ended and is started again. */
  WATCH_RESTARTED(2002, Level.INFO, "watch restarted"),
  /** The lease could not be renewed in time; held work stops. */
  LEASE_LAPSED(2003, Level.WARNING, "lease lapsed"),
  /** A caller's request was refused. */
  REQUEST_REFUSED(3001, Level.INFO, "request refused"),
  /** A request failed after it may have run. */
  REQUEST_FAILED(3002, Level.WARNING, "request failed"),
  /** The caller closed its connection before the answer ended. */
  CALLER_GONE(3003, Level.DEBUG, "caller went away"),
  /** A handler met an unexpected error. */
  REQUEST_ERROR(3004, Level.ERROR, "unexpected error while serving a request"),
  /** An endpoint refuses new work and is taken out of use. */
  ENDPOINT_DRAINING(4001, Level.INFO, "endpoint draining"),
  /** An endpoint broke a connection or refused one. */
  ENDPOINT_FAILED(4002, Level.WARNING, "endpoint failed"),
  /** The instance list could not be read. */
  INSTANCE_LIST_UNAVAILABLE(4003, Level.WARNING, "instance list unavailable"),
  /** A job was accepted. */
  JOB_ACCEPTED(5001, Level.INFO, "job accepted"),
  /** All segments of a job are finished. */
  JOB_COMPLETED(5002, Level.INFO, "job completed"),
  /** A job was cancelled. */
  JOB_CANCELLED(5003, Level.INFO, "job cancelled"),
  /** A segment was claimed. */
  SEGMENT_CLAIMED(5004, Level.DEBUG, "segment claimed"),
  /** A segment was taken over after its holder's lease expired. */
  SEGMENT_TAKEN_OVER(5005, Level.INFO, "segment taken over"),
  /** A commit conflicted: another instance holds the segment now. */
  SEGMENT_LOST(5006, Level.INFO, "segment lost"),
  /** An item failed for good after its last attempt. */
  ITEM_FAILED(5007, Level.INFO, "item failed"),
  /** An operator's statement was carried out or refused. */
  COMMAND_EXECUTED(6001, Level.INFO, "command executed"),
  /** A request to the administration API came without the operators' token. */
  OPERATOR_REFUSED(6002, Level.WARNING, "operator refused");

  private final int number;
  private final Level level;
  private final String text;

  LogEvent(int number, Level level, String text) {
    this.number = number;
    this.level = level;
    this.text = text;
  }

  /** Returns the number of the event, unique and stable. */
  public int number() {
    return number;
  }

  /** Returns the level at which the event is logged. */
  public Level level() {
    return level;
  }

  /** Returns the fixed text of the event. */
  public String text() {
    return text;
  }
}
