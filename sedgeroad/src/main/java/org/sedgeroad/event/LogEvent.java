package org.sedgeroad.event;

import java.lang.System.Logger.Level;

/**
 * The events that are logged. Each has a unique number, which is never reused, and is listed in
 * docs/EVENTS.md.
 */
public enum LogEvent {
  /** The instance has started; it may not have its configuration yet. */
  INSTANCE_STARTED(1001, Level.INFO, "instance started"),
  /** A planned stop began. */
  INSTANCE_STOPPING(1002, Level.INFO, "instance stopping"),
  /** All threads and connections are closed. */
  INSTANCE_STOPPED(1003, Level.INFO, "instance stopped"),
  /** The settings file is not valid; the instance was not started. */
  SETTINGS_INVALID(1004, Level.ERROR, "settings invalid"),
  /** The settings file was reloaded. */
  SETTINGS_READ_AGAIN(1005, Level.INFO, "settings read again"),
  /** Log lines were dropped because the queue was full: the output is too slow. */
  LINES_DROPPED(1006, Level.WARNING, "log lines dropped"),
  /** Routine lines of some requests were omitted because the rate was high. */
  LINES_SAMPLED(1008, Level.INFO, "routine lines of some requests left out"),
  /** The settings file was reloaded and is not valid; the current settings stay in force. */
  SETTINGS_KEPT(1007, Level.WARNING, "settings kept because the file has faults"),
  /** A call to the store failed. */
  STORE_UNAVAILABLE(2001, Level.WARNING, "store unavailable"),
  /** A watch on the store ended and is being restarted. */
  WATCH_RESTARTED(2002, Level.INFO, "watch restarted"),
  /** A list of objects was read from the store, for the first time or after failures. */
  STORE_AVAILABLE(2004, Level.INFO, "store available"),
  /** A newer version of the routes is in force. */
  ROUTES_APPLIED(2005, Level.INFO, "routes applied"),
  /** An object in the store is not valid and is ignored. */
  OBJECT_INVALID(2006, Level.WARNING, "object in the store is not valid"),
  /** The lease could not be renewed in time; the instance stops the work that depends on it. */
  LEASE_LAPSED(2003, Level.WARNING, "lease lapsed"),
  /** A request of a caller or client was refused. */
  REQUEST_REFUSED(3001, Level.INFO, "request refused"),
  /** A request ended with a failure; it may have run. */
  REQUEST_FAILED(3002, Level.WARNING, "request failed"),
  /** The caller closed its connection before the answer was complete. */
  CALLER_GONE(3003, Level.DEBUG, "caller went away"),
  /** An unexpected error occurred in a request, or in other work such as a periodic task. */
  REQUEST_ERROR(3004, Level.ERROR, "unexpected error while serving a request"),
  /** A request was placed: it has a slot at an endpoint. */
  REQUEST_PLACED(3005, Level.INFO, "request placed"),
  /** A request ended with its final answer. */
  REQUEST_ENDED(3006, Level.INFO, "request ended"),
  /** A request is continued at another endpoint. */
  REQUEST_MOVED(3007, Level.INFO, "request moved"),
  /** The answer of an endpoint broke off or was not valid; the request may have run there. */
  ANSWER_BROKEN(3008, Level.INFO, "answer broken"),
  /** An endpoint was registered, or its registration changed or was removed. */
  ENDPOINT_CHANGED(4007, Level.INFO, "endpoint changed"),
  /** An endpoint announced in an answer that it is leaving, or the rate that it accepts. */
  ENDPOINT_ANNOUNCED(4008, Level.INFO, "endpoint announced a change"),
  /** An endpoint's announcement about itself is not valid and is ignored. */
  ANNOUNCEMENT_INVALID(4009, Level.WARNING, "announcement of an endpoint is not valid"),
  /** An endpoint refuses new work and receives no more requests. */
  ENDPOINT_DRAINING(4001, Level.INFO, "endpoint draining"),
  /** An endpoint refused a request or a connection, or a connection to it broke. */
  ENDPOINT_FAILED(4002, Level.WARNING, "endpoint failed"),
  /** The instance list could not be read. */
  INSTANCE_LIST_UNAVAILABLE(4003, Level.WARNING, "instance list unavailable"),
  /** An endpoint crashed while it ran requests; each of them is suspected of being the cause. */
  ENDPOINT_LOST(4004, Level.WARNING, "endpoint lost"),
  /** Endpoints crashed under a request, or under requests like it; it is refused from now on. */
  REQUEST_QUARANTINED(4005, Level.WARNING, "request quarantined"),
  /** The quarantine of a request could not be written to the store yet. */
  QUARANTINE_NOT_STORED(4006, Level.WARNING, "quarantine not stored"),
  /** An ended job was deleted from the store. */
  JOB_DELETED(5013, Level.INFO, "job deleted"),
  /** A job was loaded from the store, because this instance owns it, and runs here now. */
  JOB_LOADED(5014, Level.INFO, "job loaded"),
  /** Others may have taken a job over, because this instance had no contact to them. */
  JOB_OWNER_UNCERTAIN(5015, Level.WARNING, "job may have another owner"),
  /** This instance takes over no jobs while it may be cut off from the others, or does so again. */
  TAKEOVERS_SUSPENDED(5016, Level.WARNING, "takeovers suspended or resumed"),
  /** The waiting items of a job were given up. */
  ITEMS_GIVEN_UP(5017, Level.WARNING, "items given up"),
  /** A job was accepted. */
  JOB_ACCEPTED(5001, Level.INFO, "job accepted"),
  /** All segments of a job are finished. */
  JOB_COMPLETED(5002, Level.INFO, "job completed"),
  /** A job was cancelled. */
  JOB_CANCELLED(5003, Level.INFO, "job cancelled"),
  /** The instance claimed a segment of a job. */
  SEGMENT_CLAIMED(5004, Level.DEBUG, "segment claimed"),
  /**
   * The instance took over a segment whose holder's lease expired, or tried to take over a job
   * whose owner failed.
   */
  SEGMENT_TAKEN_OVER(5005, Level.INFO, "segment taken over"),
  /** Another instance now holds a segment, or runs a job, that this instance was running. */
  SEGMENT_LOST(5006, Level.INFO, "segment lost"),
  /** An item failed permanently after its last attempt. */
  ITEM_FAILED(5007, Level.INFO, "item failed"),
  /** A job was not accepted. */
  JOB_REFUSED(5008, Level.INFO, "job refused"),
  /** An item of a job was sent to an endpoint. */
  ITEM_STARTED(5009, Level.INFO, "item started"),
  /** A run of an item ended. */
  ITEM_RUN_ENDED(5010, Level.INFO, "item run ended"),
  /** An item was preempted by live requests; it is run again later. */
  ITEM_WITHDRAWN(5011, Level.INFO, "item withdrawn"),
  /** Results of a job were written to the store and can be read. */
  RESULTS_STORED(5012, Level.INFO, "results stored"),
  /** A connection to a peer was opened. */
  PEER_CONNECTED(6006, Level.DEBUG, "peer connected"),
  /** A connection to a peer could not be opened or broke. */
  PEER_UNREACHABLE(6007, Level.INFO, "peer unreachable"),
  /**
   * A frame from a peer was too long or not valid, so its connection was closed, or a load report
   * was not valid.
   */
  PEER_FRAME_INVALID(6003, Level.WARNING, "peer sent an invalid frame"),
  /** A peer message of a type that this version does not support was skipped. */
  PEER_TYPE_UNKNOWN(6004, Level.INFO, "peer message of unknown type skipped"),
  /** A peer message was lost because its handler failed or too many messages were queued. */
  PEER_MESSAGE_FAILED(6005, Level.WARNING, "peer message not handled"),
  /** An instance is live: seen for the first time, restarted, or no longer considered failed. */
  INSTANCE_LIVE(6010, Level.INFO, "instance is live"),
  /** No newer heartbeat of an instance was received within the suspicion timeout. */
  INSTANCE_SUSPECTED(6011, Level.INFO, "instance is suspected"),
  /**
   * No newer heartbeat of an instance was received within the timeout after which it is considered
   * failed. Dead, in the constant and its message, means considered failed.
   */
  INSTANCE_DEAD(6012, Level.WARNING, "instance is considered dead"),
  /** An instance announced that it is leaving. */
  INSTANCE_LEAVING(6013, Level.INFO, "instance is leaving"),
  /** This process was paused; the pause does not count towards the timeouts of other instances. */
  PROCESS_PAUSED(6014, Level.WARNING, "process was paused"),
  /** A request of the platform to retire a machine was answered. */
  RETIREMENT_ANSWERED(6015, Level.INFO, "retirement answered"),
  /** This instance started to watch the store on behalf of its failure domain. */
  WATCHES_STARTED(6020, Level.INFO, "watching the store"),
  /** This instance ended its watches because other instances of the domain hold them. */
  WATCHES_ENDED(6021, Level.INFO, "no longer watching the store"),
  /** The local copy of the configuration is complete. */
  CONFIGURATION_COMPLETE(6022, Level.INFO, "configuration complete"),
  /** A planned stop reached its deadline before all work had ended. */
  STOP_DEADLINE_PASSED(6030, Level.WARNING, "stop deadline passed with work left"),
  /** An operator's statement was executed or refused. */
  COMMAND_EXECUTED(6001, Level.INFO, "command executed"),
  /** A request to the administration API was refused because it lacked the operators' token. */
  OPERATOR_REFUSED(6002, Level.WARNING, "operator refused");

  private final int number;
  private final Level level;
  private final String text;

  LogEvent(int number, Level level, String text) {
    this.number = number;
    this.level = level;
    this.text = text;
  }

  /** Returns the number that identifies the event in all versions. */
  public int number() {
    return number;
  }

  /** Returns the level at which the event is logged. */
  public Level level() {
    return level;
  }

  /** Returns the message of the event, which is the same for each occurrence. */
  public String text() {
    return text;
  }
}
