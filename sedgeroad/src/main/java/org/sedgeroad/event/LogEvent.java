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
  /** The settings file was read again. */
  SETTINGS_READ_AGAIN(1005, Level.INFO, "settings read again"),
  /** Log lines were dropped because the output was too slow. */
  LINES_DROPPED(1006, Level.WARNING, "log lines dropped"),
  /** Routine lines of some requests were left out, because there were many. */
  LINES_SAMPLED(1008, Level.INFO, "routine lines of some requests left out"),
  /** The settings file was read again and has faults; the settings in force stay. */
  SETTINGS_KEPT(1007, Level.WARNING, "settings kept because the file has faults"),
  /** A call to the store failed. */
  STORE_UNAVAILABLE(2001, Level.WARNING, "store unavailable"),
  /** A watch ended and is started again. */
  WATCH_RESTARTED(2002, Level.INFO, "watch restarted"),
  /** The store answers again. */
  STORE_AVAILABLE(2004, Level.INFO, "store available"),
  /** A newer version of the routes is in force. */
  ROUTES_APPLIED(2005, Level.INFO, "routes applied"),
  /** An object in the store can't be read; it is ignored. */
  OBJECT_INVALID(2006, Level.WARNING, "object in the store is not valid"),
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
  /** A request got a place at an endpoint. */
  REQUEST_PLACED(3005, Level.INFO, "request placed"),
  /** A request has its final answer. */
  REQUEST_ENDED(3006, Level.INFO, "request ended"),
  /** A request goes on at another endpoint. */
  REQUEST_MOVED(3007, Level.INFO, "request moved"),
  /** An endpoint was registered, or its registration changed or was removed. */
  ENDPOINT_CHANGED(4007, Level.INFO, "endpoint changed"),
  /** An endpoint refuses new work and is taken out of use. */
  ENDPOINT_DRAINING(4001, Level.INFO, "endpoint draining"),
  /** An endpoint broke a connection or refused one. */
  ENDPOINT_FAILED(4002, Level.WARNING, "endpoint failed"),
  /** The instance list could not be read. */
  INSTANCE_LIST_UNAVAILABLE(4003, Level.WARNING, "instance list unavailable"),
  /** An endpoint died with requests in flight; they are suspects now. */
  ENDPOINT_LOST(4004, Level.WARNING, "endpoint lost"),
  /** A request crashed two endpoints and is refused from now on. */
  REQUEST_QUARANTINED(4005, Level.WARNING, "request quarantined"),
  /** A quarantine could not be written to the store yet. */
  QUARANTINE_NOT_STORED(4006, Level.WARNING, "quarantine not stored"),
  /** A job that is over was deleted from the store. */
  JOB_DELETED(5013, Level.INFO, "job deleted"),
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
  /** A job was not accepted. */
  JOB_REFUSED(5008, Level.INFO, "job refused"),
  /** An item of a job was sent to an endpoint. */
  ITEM_STARTED(5009, Level.INFO, "item started"),
  /** A run of an item ended. */
  ITEM_RUN_ENDED(5010, Level.INFO, "item run ended"),
  /** An item left its endpoint to make room; it goes on later. */
  ITEM_WITHDRAWN(5011, Level.INFO, "item withdrawn"),
  /** Results are in the store and can be read. */
  RESULTS_STORED(5012, Level.INFO, "results stored"),
  /** A connection to a peer was opened. */
  PEER_CONNECTED(6006, Level.DEBUG, "peer connected"),
  /** A connection to a peer could not be opened, or broke. */
  PEER_UNREACHABLE(6007, Level.INFO, "peer unreachable"),
  /** A frame from a peer was too long or not valid; its connection was closed. */
  PEER_FRAME_INVALID(6003, Level.WARNING, "peer sent an invalid frame"),
  /** A message of a type that this version does not know was skipped. */
  PEER_TYPE_UNKNOWN(6004, Level.INFO, "peer message of unknown type skipped"),
  /** The handler of a peer message failed, or too many messages were waiting. */
  PEER_MESSAGE_FAILED(6005, Level.WARNING, "peer message not handled"),
  /** An instance was seen for the first time, or again after it was dead or restarted. */
  MEMBER_LIVE(6010, Level.INFO, "instance is live"),
  /** An instance made no progress for the suspicion time. */
  MEMBER_SUSPECTED(6011, Level.INFO, "instance is suspected"),
  /** An instance made no progress for the death time. */
  MEMBER_DEAD(6012, Level.WARNING, "instance is considered dead"),
  /** An instance said that it is leaving. */
  MEMBER_LEAVING(6013, Level.INFO, "instance is leaving"),
  /** This process was paused; the time is not counted against other instances. */
  PROCESS_PAUSED(6014, Level.WARNING, "process was paused"),
  /** A request to empty a machine was answered. */
  RETIREMENT_ANSWERED(6015, Level.INFO, "retirement answered"),
  /** This instance began to watch the store for its failure domain. */
  WATCHES_STARTED(6020, Level.INFO, "watching the store"),
  /** This instance ended its watches because others hold them. */
  WATCHES_ENDED(6021, Level.INFO, "no longer watching the store"),
  /** A complete copy of the configuration is held. */
  CONFIGURATION_COMPLETE(6022, Level.INFO, "configuration complete"),
  /** A planned stop reached its deadline with work left. */
  STOP_DEADLINE_PASSED(6030, Level.WARNING, "stop deadline passed with work left"),
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
