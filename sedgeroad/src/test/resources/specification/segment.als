/*
 * Jobs and segments: claim, lease, commit, cancel, takeover, acceptance and resend
 * (docs/design.md, section 5). docs/SPECIFICATION.md describes each action, guard and property.
 *
 * One segment of one job. The store's version is represented by UpToDate: the instances whose copy
 * of the segment, or whose write in flight, is based on the current version. A write stores the
 * whole copy of the writer, as a PUT of the store does.
 */
module segment

open util/ordering[Age] as age

// ---- Guards ---------------------------------------------------------------------------------

abstract sig Guard {}

one sig VersionCondition, WriteNumber, ReadBackWriter, StartedMark, UnknownAtTakeover, LeaseWait,
  LeaseFromSend, LeaseCheck, Reclaim, CancelCheck, JobReadBeforeClaim, JobVersionCondition
  extends Guard {}

one sig DerivedId, ConditionalCreate, AcknowledgeAfterCreate, InputsFirst, SweepDeadline
  extends Guard {}

/** The guards that are switched on. */
sig On in Guard {}

pred allGuards { On = Guard }

pred without[g: Guard] { On = Guard - g }

// ---- State ----------------------------------------------------------------------------------

/** Time since an event, in parts of a lease; the last age means a full lease duration or more. */
sig Age {}

abstract sig Outcome {}

one sig Cancelled, OutcomeUnknown extends Outcome {}

enum WriteKind { Claim, Mark, Commit }

enum Status { Running, JobCancelled, Completed }

sig Item {}

sig NonIdempotent in Item {}

/** An instance. As an outcome of an item: completed with the result of this instance. */
sig Instance extends Outcome {
  var copyState: Item -> lone Outcome,
  var copyStarted: set Item,
  var results: set Item,
  var pending: lone WriteKind,
  var leaseAge: one Age,
  var renewal: lone Age,
  var waited: Instance -> lone Age
}

one sig Segment {
  var holder: lone Instance,
  var writer: lone Instance,
  var state: Item -> lone Outcome,
  var started: set Item
}

one sig Job { var status: one Status }

/**
 * Sets of instances:
 * - UpToDate: their copy, or their write in flight, is based on the current version.
 * - Holds: they work on the segment.
 * - Delivered: their pending write took effect.
 * - Invalidated: their pending write no longer counts, after a restart or a lapse.
 * - CancelRead: they have read the cancel.
 * - Lapsed: their lease has lapsed since their claim.
 */
var sig UpToDate, Holds, Delivered, Invalidated, CancelRead, Lapsed in Instance {}

/** Executions at the endpoints; only the properties read them, no instance does. */
var sig ExecutedOnce, ExecutedTwice in Item {}

pred leaseValid[i: Instance] { i.leaseAge != age/last }

// ---- Frame conditions -----------------------------------------------------------------------

pred sameSegment { holder' = holder and writer' = writer and state' = state and started' = started }

pred sameJob { status' = status }

pred sameLease {
  leaseAge' = leaseAge and renewal' = renewal and waited' = waited and Lapsed' = Lapsed
}

pred sameExecutions { ExecutedOnce' = ExecutedOnce and ExecutedTwice' = ExecutedTwice }

pred sameCopies { copyState' = copyState and copyStarted' = copyStarted }

pred sameWrites {
  pending' = pending and Delivered' = Delivered
  Invalidated' = Invalidated and UpToDate' = UpToDate
}

pred sameMemory { Holds' = Holds and results' = results and CancelRead' = CancelRead }

pred othersKeepCopies[i: Instance] {
  all o: Instance - i | o.copyState' = o.copyState and o.copyStarted' = o.copyStarted
}

pred othersKeepResults[i: Instance] { all o: Instance - i | o.results' = o.results }

pred setPending[i: Instance, k: set WriteKind] { pending' = pending - i->WriteKind + i->k }

// ---- Writes to the segment ------------------------------------------------------------------

/** The store replaces the segment by i's copy; every other copy becomes outdated. */
pred replaceSegment[i: Instance] {
  holder' = Segment->i
  writer' = Segment->i
  state' = Segment->(i.copyState')
  started' = Segment->(i.copyStarted')
  UpToDate' = i
}

/** Instance i receives the confirmation that its write of kind k took effect. */
pred writeDone[i: Instance, k: WriteKind] {
  setPending[i, none]
  Delivered' = Delivered - i
  Invalidated' = Invalidated
  Holds' = (k = Claim implies Holds + i else Holds)
  i.results' = (k = Mark implies i.results else none)
}

/** Instance i stops working on the segment. */
pred drop[i: Instance] {
  setPending[i, none]
  Delivered' = Delivered - i
  Invalidated' = Invalidated - i
  Holds' = Holds - i
  no i.results'
}

/** The answer is outstanding: i takes no action on the segment before readBack. */
pred writeUnanswered[i: Instance, k: WriteKind] {
  setPending[i, k]
  Invalidated' = Invalidated
  Holds' = Holds
  i.results' = i.results
}

/** A conditional update: done, done with a lost answer, still in flight, or refused. */
pred write[i: Instance, k: WriteKind, current: set Instance] {
  othersKeepCopies[i]
  othersKeepResults[i]
  sameJob and sameExecutions
  leaseAge' = leaseAge and renewal' = renewal and waited' = waited
  Lapsed' = (k = Claim implies Lapsed - i else Lapsed)
  {
    (VersionCondition in On implies i in current)
    replaceSegment[i]
    (writeDone[i, k] or (writeUnanswered[i, k] and Delivered' = Delivered + i))
  } or {
    sameSegment and UpToDate' = current
    writeUnanswered[i, k] and Delivered' = Delivered
  } or {
    VersionCondition in On and i not in current
    sameSegment and UpToDate' = current
    drop[i]
  }
}

/** Reads job and segment, then writes the segment with i as holder. */
pred take[i: Instance] {
  no i.pending and (i not in Holds or i in Lapsed) and leaseValid[i]
  JobReadBeforeClaim in On implies Job.status = Running
  i.copyStarted' = Segment.started
  let unfinished = Segment.started - Segment.state.Outcome |
    i.copyState' = (UnknownAtTakeover in On
      implies Segment.state + unfinished->OutcomeUnknown else Segment.state)
  CancelRead' = (JobReadBeforeClaim in On implies CancelRead - i else CancelRead)
  no i.results
  write[i, Claim, UpToDate + i]
}

pred claim[i: Instance] {
  no Segment.holder
  take[i]
}

pred takeover[i: Instance] {
  some Segment.holder
  (LeaseWait in On and Segment.holder != i) implies i.waited[Segment.holder] = age/last
  take[i]
}

/** Marks non-idempotent items as started before they are sent. */
pred mark[i: Instance] {
  i in Holds and no i.pending
  some i.copyStarted' - i.copyStarted
  i.copyStarted in i.copyStarted'
  i.copyStarted' - i.copyStarted in NonIdempotent - i.copyState.Outcome
  i.copyState' = i.copyState
  CancelRead' = CancelRead
  write[i, Mark, UpToDate]
}

/** Commits the results or, after a cancel, discards them and marks the other items cancelled. */
pred commit[i: Instance] {
  i in Holds and no i.pending
  let remaining = Item - i.copyState.Outcome {
    Job.status = JobCancelled
      implies (some remaining and i.copyState' = i.copyState + remaining->Cancelled)
      else (some i.results and i.copyState' = i.copyState + i.results->i)
  }
  i.copyStarted' = i.copyStarted
  CancelRead' = (Job.status = JobCancelled implies CancelRead + i else CancelRead)
  write[i, Commit, UpToDate]
}

/** A write whose answer is outstanding reaches the store late. */
pred deliver[i: Instance] {
  some i.pending and i not in Delivered
  VersionCondition in On implies i in UpToDate
  sameCopies
  replaceSegment[i]
  Delivered' = Delivered + i
  pending' = pending and Invalidated' = Invalidated
  sameMemory and sameJob and sameLease and sameExecutions
}

/**
 * Reads the segment after an unknown outcome and compares writer and write number. If the lease
 * has lapsed since the claim was sent, the instance stays in Lapsed even if the claim took effect.
 */
pred readBack[i: Instance] {
  some i.pending
  sameSegment and sameCopies and sameJob and sameLease and sameExecutions
  othersKeepResults[i]
  CancelRead' = CancelRead
  let isOwnWrite = (ReadBackWriter in On implies Segment.writer = i)
      and (WriteNumber in On implies (i in Delivered or Segment.writer != i)) {
    i in Invalidated implies (drop[i] and UpToDate' = UpToDate)
    else isOwnWrite implies (writeDone[i, i.pending] and UpToDate' = UpToDate + i)
    else i not in UpToDate and (drop[i] and UpToDate' = UpToDate)
  }
}

// ---- Work -----------------------------------------------------------------------------------

/** Sends one item to an endpoint, which runs it. */
pred send[i: Instance, x: Item] {
  i in Holds and no i.pending
  x not in i.copyState.Outcome + i.results
  LeaseCheck in On implies leaseValid[i]
  CancelCheck in On implies i not in CancelRead
  (StartedMark in On and x in NonIdempotent) implies x in i.copyStarted
  results' = results + i->x
  ExecutedOnce' = ExecutedOnce + x
  ExecutedTwice' = ExecutedTwice + (x & ExecutedOnce)
  Holds' = Holds and CancelRead' = CancelRead
  sameSegment and sameJob and sameLease and sameCopies and sameWrites
}

pred cancel {
  JobVersionCondition in On implies Job.status = Running
  status' = Job->JobCancelled
  sameSegment and sameLease and sameCopies and sameWrites and sameMemory and sameExecutions
}

/** An instance that finds every item in a final state completes the job. */
pred finish {
  Item in Segment.state.Outcome
  JobVersionCondition in On implies Job.status = Running
  status' = Job->Completed
  sameSegment and sameLease and sameCopies and sameWrites and sameMemory and sameExecutions
}

/** Instance i reads that the job was cancelled. */
pred readCancel[i: Instance] {
  Job.status = JobCancelled and i not in CancelRead
  CancelRead' = CancelRead + i
  Holds' = Holds and results' = results
  sameSegment and sameJob and sameLease and sameCopies and sameWrites and sameExecutions
}

// ---- Lease ----------------------------------------------------------------------------------

/** The renewal is sent and reaches the store: every other instance will read a new counter. */
pred renew[i: Instance] {
  no i.renewal
  renewal' = renewal + i->age/first
  all t: Instance | t.waited' = t.waited - i->Age
  leaseAge' = leaseAge and Lapsed' = Lapsed
  sameSegment and sameJob and sameCopies and sameWrites and sameMemory and sameExecutions
}

/** The answer to the renewal arrives. It doesn't restore a claim whose lease has lapsed. */
pred renewed[i: Instance] {
  some i.renewal
  renewal' = renewal - i->Age
  let sent = (LeaseFromSend in On implies i.renewal else age/first) |
    leaseAge' = leaseAge ++ i->(age/lt[sent, i.leaseAge] implies sent else i.leaseAge)
  waited' = waited and Lapsed' = Lapsed
  let lost = (Reclaim in On implies i & Lapsed else none) {
    Holds' = Holds - lost
    results' = results - lost->Item
    Invalidated' = Invalidated + (lost & pending.WriteKind)
  }
  CancelRead' = CancelRead and pending' = pending
  Delivered' = Delivered and UpToDate' = UpToDate
  sameSegment and sameJob and sameCopies and sameExecutions
}

/** Instance t reads holder i's current counter for the first time. */
pred observe[t, i: Instance] {
  t != i and no t.waited[i]
  waited' = waited + t->i->age/first
  leaseAge' = leaseAge and renewal' = renewal and Lapsed' = Lapsed
  sameSegment and sameJob and sameCopies and sameWrites and sameMemory and sameExecutions
}

fun older[a: Age]: Age { a = age/last implies age/last else a.next }

/** Time advances on every monotonic clock; a paused instance takes no action meanwhile. */
pred tick {
  all i: Instance {
    i.leaseAge' = older[i.leaseAge]
    i.renewal' = { a: Age | some i.renewal and a = older[i.renewal] }
    all j: Instance | i.waited'[j] = { a: Age | some i.waited[j] and a = older[i.waited[j]] }
  }
  Lapsed' = Lapsed + { i: Holds + pending.WriteKind | older[i.leaseAge] = age/last }
  sameSegment and sameJob and sameCopies and sameWrites and sameMemory and sameExecutions
}

/** An instance crashes and restarts without memory; a write in flight may still take effect. */
pred restart[i: Instance] {
  Holds' = Holds - i and results' = results - i->Item and CancelRead' = CancelRead - i
  Invalidated' = Invalidated + (i & pending.WriteKind)
  pending' = pending and Delivered' = Delivered and UpToDate' = UpToDate
  leaseAge' = leaseAge ++ i->age/last
  renewal' = renewal - i->Age
  waited' = waited - i->Instance->Age
  Lapsed' = Lapsed - i
  sameSegment and sameJob and sameCopies and sameExecutions
}

pred idle {
  sameSegment and sameJob and sameLease and sameCopies and sameWrites and sameMemory
  sameExecutions
}

pred segmentTrace {
  no holder and no writer and no state and no started and Job.status = Running
  no copyState and no copyStarted and no results and no pending and no renewal and no waited
  no UpToDate and no Holds and no Delivered and no Invalidated and no CancelRead and no Lapsed
  no ExecutedOnce and no ExecutedTwice
  all i: Instance | i.leaseAge = age/first
  always (
    idle or cancel or finish or tick
    or (some i: Instance | claim[i] or takeover[i] or mark[i] or commit[i] or deliver[i]
      or readBack[i] or readCancel[i] or renew[i] or renewed[i] or restart[i]
      or (some x: Item | send[i, x]) or (some t: Instance | observe[t, i]))
  )
  always (no Created and no Inputs and no Open and no Progressed and no acknowledged)
}

// ---- Acceptance -----------------------------------------------------------------------------

sig Id {}

sig Key {
  hash: one Id,
  var acknowledged: set Id
}

/** Ids of created job objects, of stored inputs, and of jobs with progress. */
var sig Created, Inputs, Progressed in Id {}

/** Ids of acceptances in progress. */
var sig Open in Id {}

pred idFor[k: Key, j: Id] { DerivedId in On implies j = k.hash }

/** Creates the inputs, before the job object. */
pred createInputs[k: Key, j: Id] {
  idFor[k, j]
  Inputs' = Inputs + j and Open' = Open + j
  Created' = Created and Progressed' = Progressed and acknowledged' = acknowledged
}

/** Creates the job object; its answer, and so the acknowledgement, may be lost. */
pred accept[k: Key, j: Id] {
  idFor[k, j]
  InputsFirst in On implies j in Open
  ConditionalCreate in On implies j not in Created
  Created' = Created + j or (AcknowledgeAfterCreate not in On and Created' = Created)
  Progressed' = Progressed - j
  Open' = Open - j
  acknowledged' = acknowledged or acknowledged' = acknowledged + k->j
  Inputs' = Inputs
}

/** A client sends the job again and receives the existing job. */
pred resend[k: Key, j: Id] {
  idFor[k, j] and j in Created
  acknowledged' = acknowledged + k->j
  Created' = Created and Progressed' = Progressed and Inputs' = Inputs and Open' = Open - j
}

pred progress[j: Id] {
  j in Created and j in Inputs
  Progressed' = Progressed + j
  Created' = Created and Inputs' = Inputs and Open' = Open and acknowledged' = acknowledged
}

/** An acceptance ends without a job object: its instance crashed or its deadline passed. */
pred abandon[j: Id] {
  j in Open
  Open' = Open - j
  Created' = Created and Progressed' = Progressed and Inputs' = Inputs
  acknowledged' = acknowledged
}

/** Removes inputs that no job refers to. */
pred sweep[j: Id] {
  j not in Created
  SweepDeadline in On implies j not in Open
  Inputs' = Inputs - j
  Created' = Created and Progressed' = Progressed and Open' = Open
  acknowledged' = acknowledged
}

pred acceptTrace {
  all disj k, l: Key | k.hash != l.hash
  no Created and no Inputs and no Open and no Progressed and no acknowledged
  always (
    (Created' = Created and Progressed' = Progressed and Inputs' = Inputs and Open' = Open
      and acknowledged' = acknowledged)
    or (some j: Id | progress[j] or abandon[j] or sweep[j]
      or (some k: Key | createInputs[k, j] or accept[k, j] or resend[k, j]))
  )
  Job.status = Running
  all i: Instance | i.leaseAge = age/first
  no holder and no writer and no state and no started
  no copyState and no copyStarted and no results and no pending and no renewal and no waited
  no UpToDate and no Holds and no Delivered and no Invalidated and no CancelRead and no Lapsed
  no ExecutedOnce and no ExecutedTwice
  always idle
}

// ---- Properties -----------------------------------------------------------------------------

/** An item that has a final state keeps it. */
pred itemCompletesOnce {
  always all x: Segment.state.Outcome | x in Segment.state'.Outcome
}

/** A committed outcome is never replaced. */
pred resultIsNeverReplaced {
  always all x: Item, o: x.(Segment.state) | x.(Segment.state') in o
}

pred nonIdempotentRunsAtMostOnce { always no ExecutedTwice & NonIdempotent }

/** After i has read the cancel, or its lease has lapsed after the cancel, i sends no item. */
pred cancelledJobStops {
  all i: Instance | always (
    ((Job.status = JobCancelled and (i in CancelRead or not leaseValid[i])))
      implies after always (Job.status = JobCancelled implies no x: Item | send[i, x])
      and no x: Item | send[i, x])
}

/** At most one instance with a valid lease works on the segment. */
pred oneActiveHolder {
  always lone i: Holds | leaseValid[i] and no i.pending
}

/** The copy of a holder that has the current version equals the stored segment. */
pred currentCopyEqualsStored {
  always all i: Holds & UpToDate | no i.pending implies
    (i.copyState = Segment.state and i.copyStarted = Segment.started)
}

/** Cancel and completion exclude each other. */
pred jobEndsOnce { always (Job.status != Running implies Job.status' = Job.status) }

pred resendYieldsSameJob { always all k: Key | lone k.acknowledged }

pred acknowledgedJobIsNeverLost {
  always all j: Key.acknowledged | j in Created and j in Inputs
}

/** A resend does not undo the progress of a job. */
pred progressIsKept { always Progressed in Progressed' }

// ---- Commands -------------------------------------------------------------------------------

/** A job completes after a takeover: one result of the first holder, one unknown outcome. */
run completionAfterTakeover {
  allGuards and segmentTrace
  some disj a, b: Instance, disj x, y: Item {
    y in NonIdempotent
    eventually (Segment.holder = a and x.(Segment.state) = a and y in Segment.started)
    eventually (Segment.holder = b and y.(Segment.state) = OutcomeUnknown)
  }
  eventually Job.status = Completed
} for exactly 2 Instance, exactly 2 Item, exactly 2 Age, 0 Key, 0 Id, 12..12 steps expect 1

/** A cancel leaves a committed result and marks the remaining item. */
run cancelAfterCommit {
  allGuards and segmentTrace
  eventually (some Segment.state.Instance and some Segment.state.Cancelled)
} for exactly 2 Instance, exactly 2 Item, exactly 3 Age, 0 Key, 0 Id, 1..8 steps expect 1

/** The answer to the creation is lost; the resend is acknowledged and the job runs. */
run acknowledgedAfterLostAnswer {
  allGuards and acceptTrace
  eventually some j: Created |
    no acknowledged.j and eventually (some acknowledged.j and j in Progressed)
} for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  1..8 steps expect 1

check itemCompletesOnceHolds { (allGuards and segmentTrace) implies itemCompletesOnce }
  for exactly 2 Instance, exactly 2 Item, exactly 2 Age, 0 Key, 0 Id, 9..9 steps expect 0

check resultIsNeverReplacedHolds { (allGuards and segmentTrace) implies resultIsNeverReplaced }
  for exactly 2 Instance, exactly 2 Item, exactly 2 Age, 0 Key, 0 Id, 9..9 steps expect 0

check nonIdempotentRunsAtMostOnceHolds { (allGuards and segmentTrace) implies nonIdempotentRunsAtMostOnce }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 11..11 steps expect 0

check cancelledJobStopsHolds { (allGuards and segmentTrace) implies cancelledJobStops }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 0

check oneActiveHolderHolds { (allGuards and segmentTrace) implies oneActiveHolder }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 0

check currentCopyEqualsStoredHolds { (allGuards and segmentTrace) implies currentCopyEqualsStored }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 9..9 steps expect 0

check jobEndsOnceHolds { (allGuards and segmentTrace) implies jobEndsOnce }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 8..8 steps expect 0

check resendYieldsSameJobHolds { (allGuards and acceptTrace) implies resendYieldsSameJob }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  8..8 steps expect 0

check acknowledgedJobIsNeverLostHolds { (allGuards and acceptTrace) implies acknowledgedJobIsNeverLost }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  8..8 steps expect 0

check progressIsKeptHolds { (allGuards and acceptTrace) implies progressIsKept }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  8..8 steps expect 0

check withoutVersionConditionFails_itemCompletesOnce { (without[VersionCondition] and segmentTrace) implies itemCompletesOnce }
  for exactly 2 Instance, exactly 2 Item, exactly 2 Age, 0 Key, 0 Id, 9..9 steps expect 1

check withoutVersionConditionFails_resultIsNeverReplaced { (without[VersionCondition] and segmentTrace) implies resultIsNeverReplaced }
  for exactly 2 Instance, exactly 2 Item, exactly 2 Age, 0 Key, 0 Id, 9..9 steps expect 1

check withoutWriteNumberFails_currentCopyEqualsStored { (without[WriteNumber] and segmentTrace) implies currentCopyEqualsStored }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 9..9 steps expect 1

check withoutWriteNumberFails_nonIdempotentRunsAtMostOnce { (without[WriteNumber] and segmentTrace) implies nonIdempotentRunsAtMostOnce }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 11..11 steps expect 1

check withoutReadBackWriterFails_currentCopyEqualsStored { (without[ReadBackWriter] and segmentTrace) implies currentCopyEqualsStored }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 9..9 steps expect 1

check withoutStartedMarkFails_nonIdempotentRunsAtMostOnce { (without[StartedMark] and segmentTrace) implies nonIdempotentRunsAtMostOnce }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 11..11 steps expect 1

check withoutUnknownAtTakeoverFails_nonIdempotentRunsAtMostOnce { (without[UnknownAtTakeover] and segmentTrace) implies nonIdempotentRunsAtMostOnce }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 11..11 steps expect 1

check withoutLeaseWaitFails_oneActiveHolder { (without[LeaseWait] and segmentTrace) implies oneActiveHolder }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 1

check withoutLeaseFromSendFails_oneActiveHolder { (without[LeaseFromSend] and segmentTrace) implies oneActiveHolder }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 1

check withoutLeaseCheckFails_cancelledJobStops { (without[LeaseCheck] and segmentTrace) implies cancelledJobStops }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 1

check withoutReclaimFails_cancelledJobStops { (without[Reclaim] and segmentTrace) implies cancelledJobStops }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 1

check withoutReclaimFails_oneActiveHolder { (without[Reclaim] and segmentTrace) implies oneActiveHolder }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 1

check withoutCancelCheckFails_cancelledJobStops { (without[CancelCheck] and segmentTrace) implies cancelledJobStops }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 1

check withoutJobReadBeforeClaimFails_cancelledJobStops { (without[JobReadBeforeClaim] and segmentTrace) implies cancelledJobStops }
  for exactly 2 Instance, exactly 1 Item, exactly 3 Age, 0 Key, 0 Id, 10..10 steps expect 1

check withoutJobVersionConditionFails_jobEndsOnce { (without[JobVersionCondition] and segmentTrace) implies jobEndsOnce }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Age, 0 Key, 0 Id, 8..8 steps expect 1

check withoutDerivedIdFails_resendYieldsSameJob { (without[DerivedId] and acceptTrace) implies resendYieldsSameJob }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  8..8 steps expect 1

check withoutConditionalCreateFails_progressIsKept { (without[ConditionalCreate] and acceptTrace) implies progressIsKept }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  8..8 steps expect 1

check withoutAcknowledgeAfterCreateFails_acknowledgedJobIsNeverLost { (without[AcknowledgeAfterCreate] and acceptTrace) implies acknowledgedJobIsNeverLost }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  8..8 steps expect 1

check withoutInputsFirstFails_acknowledgedJobIsNeverLost { (without[InputsFirst] and acceptTrace) implies acknowledgedJobIsNeverLost }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  8..8 steps expect 1

check withoutSweepDeadlineFails_acknowledgedJobIsNeverLost { (without[SweepDeadline] and acceptTrace) implies acknowledgedJobIsNeverLost }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Age, exactly 2 Key, exactly 3 Id,
  8..8 steps expect 1
