/*
 * Jobs of a gateway: results as an append-only log, takeover, lost answers, deletion
 * (docs/platform.md). docs/SPECIFICATION.md describes each action, guard and property.
 *
 * One job. In this model, a chunk holds the result of one item, at a position of the log. A create
 * call whose answer is lost may reach the store at any later time. Several instances may run the job
 * at once, each of which considers itself the owner.
 */
module resultlog

open util/ordering[Position] as position

// ---- Guards ---------------------------------------------------------------------------------

abstract sig Guard {}

one sig
  // A chunk is created only if its position is free.
  CreateIfFree,
  // An instance creates a chunk only at the first position that it has not read or created.
  NextAfterSeen,
  // An instance that reads a chunk drops its own result of the item in it.
  DropListed,
  // A job is marked as ended before anything of it is deleted.
  EndFirst,
  // Deletion begins only while no write is in flight and no other instance runs the job; it stands
  // for a retention time that is longer than either lasts.
  KeepTime,
  // Chunks are deleted from the last to the first.
  LastChunkFirst,
  // The head is deleted only when no chunk is left.
  HeadLast
  extends Guard {}

/** The guards that are switched on. */
sig On in Guard {}

pred allGuards { On = Guard }

pred without[g: Guard] { On = Guard - g }

// ---- State ----------------------------------------------------------------------------------

sig Item {}

/** A position of the log, free if it has no chunk. */
sig Position { var chunk: lone Item }

/**
 * An instance: the positions and the items of the chunks that it has read or created, the items
 * that have ended but are not yet in such a chunk, and its create calls whose answers were lost.
 */
sig Instance {
  var seen: set Position,
  var listedItems: set Item,
  var finished: set Item,
  var inFlight: Position -> Item
}

/** Instances that run the job, each of which considers itself the owner. */
var sig Running in Instance {}

one sig Job { var owner: one Instance }

/** The head object exists, and is marked as ended. */
var sig Head, Ended in Job {}

/** The job is being deleted. */
var sig Deleting in Job {}

/** The positions that have a chunk. */
fun usedPositions: set Position { chunk.Item }

// ---- Frame conditions -----------------------------------------------------------------------

pred sameLog { chunk' = chunk }

pred sameHead { owner' = owner and Head' = Head and Ended' = Ended and Deleting' = Deleting }

pred sameMemory {
  seen' = seen and listedItems' = listedItems and finished' = finished and Running' = Running
}

/** Instance i discards its memory of the job. */
pred forget[i: Instance] {
  seen' = seen - i->Position
  listedItems' = listedItems - i->Item
  finished' = finished - i->Item
}

pred sameWrites { inFlight' = inFlight }

// ---- Running the job ------------------------------------------------------------------------

/** The owner reads the whole log, then runs the job. */
pred load[i: Instance] {
  Job in Head and Job not in Ended and Job.owner = i and i not in Running
  Running' = Running + i
  seen' = seen - i->Position + i->usedPositions
  listedItems' = listedItems - i->Item + i->(Position.chunk)
  finished' = finished - i->Item
  sameLog and sameHead and sameWrites
}

/** An item ends at an endpoint. */
pred finish[i: Instance, x: Item] {
  i in Running and x not in i.listedItems + i.finished
  finished' = finished + i->x
  seen' = seen and listedItems' = listedItems and Running' = Running
  sameLog and sameHead and sameWrites
}

/** Instance i reads the chunk at p, its own or that of another instance. */
pred readChunk[i: Instance, p: Position, listedItem: Item] {
  seen' = seen + i->p
  listedItems' = listedItems + i->listedItem
  finished' = (DropListed in On implies finished - i->listedItem else finished)
  Running' = Running
}

/**
 * Creates the chunk with x. The create succeeds, its answer is lost, or it is refused because the
 * position is not free; instance i then reads the chunk at that position.
 */
pred append[i: Instance, x: Item] {
  i in Running and x in i.finished
  some p: Position - i.seen {
    NextAfterSeen in On implies p = position/min[Position - i.seen]
    {
      CreateIfFree in On implies no p.chunk
      chunk' = chunk ++ p->x
      seen' = seen + i->p
      listedItems' = listedItems + i->x
      finished' = finished - i->x
      Running' = Running
      sameWrites
    } or {
      inFlight' = inFlight + i->p->x
      sameLog and sameMemory
    } or {
      CreateIfFree in On and some p.chunk
      readChunk[i, p, p.chunk]
      sameLog and sameWrites
    }
  }
  sameHead
}

/** A create call whose answer was lost reaches the store late. */
pred deliver[i: Instance, p: Position, x: Item] {
  i->p->x in inFlight
  CreateIfFree in On implies no p.chunk
  chunk' = chunk ++ p->x
  inFlight' = inFlight - i->p->x
  sameHead and sameMemory
}

pred takeOver[i: Instance] {
  Job in Head and Job not in Ended and Job.owner != i
  owner' = Job->i
  Head' = Head and Ended' = Ended and Deleting' = Deleting
  sameLog and sameMemory and sameWrites
}

/** An instance reads that another one owns the job, or that the job has ended or is deleted. */
pred drop[i: Instance] {
  i in Running and (Job.owner != i or Job in Ended or Job not in Head)
  Running' = Running - i
  forget[i]
  sameLog and sameHead and sameWrites
}

/** An instance restarts without memory; its writes in flight may still take effect. */
pred restart[i: Instance] {
  Running' = Running - i
  forget[i]
  sameLog and sameHead and sameWrites
}

// ---- Deletion -------------------------------------------------------------------------------

/**
 * The owner starts to delete a complete job. The model has no time: KeepTime stands for the
 * retention time that must have passed before.
 */
pred beginDeletion[i: Instance] {
  Job in Head and Job not in Deleting and Job.owner = i and i in Running
  Item in i.listedItems
  KeepTime in On implies (no inFlight and Running = i)
  Deleting' = Deleting + Job
  Ended' = (EndFirst in On implies Ended + Job else Ended)
  owner' = owner and Head' = Head
  sameLog and sameMemory and sameWrites
}

/** The owner, or an instance that continues the deletion for it, deletes a chunk. */
pred deleteChunk[p: Position] {
  Job in Deleting and Job in Head and some p.chunk
  LastChunkFirst in On implies p = position/max[usedPositions]
  chunk' = chunk - p->Item
  sameHead and sameMemory and sameWrites
}

pred deleteHead {
  Job in Deleting and Job in Head
  HeadLast in On implies no usedPositions
  Head' = Head - Job
  owner' = owner and Ended' = Ended and Deleting' = Deleting
  sameLog and sameMemory and sameWrites
}

pred idle { sameLog and sameHead and sameMemory and sameWrites }

pred trace {
  no chunk and no seen and no listedItems and no finished and no inFlight and no Running
  Job in Head and no Ended and no Deleting
  always (
    idle or deleteHead
    or (some i: Instance | load[i] or takeOver[i] or drop[i] or restart[i] or beginDeletion[i]
      or (some x: Item | finish[i, x] or append[i, x]
        or (some p: Position | deliver[i, p, x])))
    or (some p: Position | deleteChunk[p])
  )
}

// ---- Properties -----------------------------------------------------------------------------

/** No item is in two chunks. */
pred itemListedAtMostOnce { always (all x: Item | lone chunk.x) }

/**
 * A position that has held a result never holds another one, not even after its chunk was deleted.
 */
pred positionsNeverChange {
  always (all p: Position, x: Item | p.chunk = x implies always p.chunk in x)
}

/** A read up to the first free position finds every chunk. */
pred noGaps { always (all p: usedPositions | position/prevs[p] in usedPositions) }

/** No chunk remains without a head. */
pred noOrphans { always (no Head implies no usedPositions) }

// ---- Commands -------------------------------------------------------------------------------

/** Two instances append one item each. */
run completedAfterTakeover {
  allGuards and trace
  some disj a, b: Instance, disj x, y: Item {
    eventually (x in a.finished and eventually (some chunk.x and Job.owner = b
      and eventually (y in b.finished and eventually some chunk.y)))
  }
} for exactly 2 Instance, exactly 2 Item, exactly 2 Position, 1..10 steps expect 1

/** A create call with a lost answer takes effect after another instance has become the owner. */
run lateCreate {
  allGuards and trace
  some disj a, b: Instance, x: Item |
    eventually (some a.inFlight.x and Job.owner = b
      and after (some chunk.x and no a.inFlight.x))
} for exactly 2 Instance, exactly 2 Item, exactly 2 Position, 1..8 steps expect 1

/** A complete job is deleted. */
run deleted {
  allGuards and trace
  eventually (Item in Position.chunk and eventually no Head)
} for exactly 1 Instance, exactly 1 Item, exactly 2 Position, 1..8 steps expect 1

check itemListedAtMostOnceHolds { (allGuards and trace) implies itemListedAtMostOnce }
  for exactly 2 Instance, exactly 2 Item, exactly 3 Position, 9..9 steps expect 0

check positionsNeverChangeHolds { (allGuards and trace) implies positionsNeverChange }
  for exactly 2 Instance, exactly 2 Item, exactly 2 Position, 9..9 steps expect 0

check noGapsHolds { (allGuards and trace) implies noGaps }
  for exactly 2 Instance, exactly 2 Item, exactly 3 Position, 9..9 steps expect 0

check noOrphansHolds { (allGuards and trace) implies noOrphans }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Position, 10..10 steps expect 0

check withoutCreateIfFreeFails_positionsNeverChange { (without[CreateIfFree] and trace) implies positionsNeverChange }
  for exactly 2 Instance, exactly 2 Item, exactly 2 Position, 9..9 steps expect 1

check withoutNextAfterSeenFails_itemListedAtMostOnce { (without[NextAfterSeen] and trace) implies itemListedAtMostOnce }
  for exactly 2 Instance, exactly 2 Item, exactly 3 Position, 9..9 steps expect 1

check withoutNextAfterSeenFails_noGaps { (without[NextAfterSeen] and trace) implies noGaps }
  for exactly 2 Instance, exactly 2 Item, exactly 3 Position, 9..9 steps expect 1

check withoutDropListedFails_itemListedAtMostOnce { (without[DropListed] and trace) implies itemListedAtMostOnce }
  for exactly 2 Instance, exactly 2 Item, exactly 3 Position, 9..9 steps expect 1

check withoutEndFirstFails_positionsNeverChange { (without[EndFirst] and trace) implies positionsNeverChange }
  for exactly 1 Instance, exactly 2 Item, exactly 2 Position, 13..13 steps expect 1

check withoutKeepTimeFails_noOrphans { (without[KeepTime] and trace) implies noOrphans }
  for exactly 2 Instance, exactly 1 Item, exactly 2 Position, 10..10 steps expect 1

check withoutLastChunkFirstFails_noGaps { (without[LastChunkFirst] and trace) implies noGaps }
  for exactly 1 Instance, exactly 2 Item, exactly 2 Position, 9..9 steps expect 1

check withoutHeadLastFails_noOrphans { (without[HeadLast] and trace) implies noOrphans }
  for exactly 1 Instance, exactly 1 Item, exactly 2 Position, 8..8 steps expect 1
