/*
 * Limits: votes, propagation to replicas, shares, leases and reservations (docs/design.md,
 * section 4). docs/SPECIFICATION.md describes each action, guard and property.
 *
 * This file has two independent traces: voteTrace (operators and replicas) and shareTrace (failure
 * domains).
 * Version order is the store's order; the versions up to Store.current have been accepted.
 */
module limit

open util/ordering[Version] as version
open util/ordering[Age] as age
open util/integer

// ---- Guards ---------------------------------------------------------------------------------

abstract sig Guard {}

one sig ConditionalVote, ReadBackAuthor, HigherVersionOnly, SnapshotNotOlder extends Guard {}

one sig LeaseAtHolder, ExpiryWait, Reserve, ReserveHighest, RefuseBelowUse, RefuseCountsAll,
  CatchUp, GiverFirst, GiverApplied extends Guard {}

/** The guards that are switched on. */
sig On in Guard {}

pred allGuards { On = Guard }

pred without[g: Guard] { On = Guard - g }

// ---- State ----------------------------------------------------------------------------------

/** The version that an operator read, the base of its unanswered vote, its confirmed version. */
sig Operator {
  var read: lone Version,
  var unansweredBase: lone Version,
  var confirmed: lone Version
}

/** One accepted version of a member's limit. */
sig Version {
  value: one Int,
  var author: lone Operator,
  var base: lone Version
}

one sig Store { var current: one Version }

/** An instance; floor is the version that the lease object of its domain records for it. */
sig Replica {
  var applied: lone Version,
  var floor: one Version
}

/** Time since an event; the last age means a full lease duration or more. */
sig Age {}

sig Domain {
  var inUse: one Version,
  var recorded: one Version,
  var leaseAge: one Age,
  var seen: Domain -> lone Version,
  var seenAge: Domain -> lone Age
}

/**
 * Share: domains that own the movable share in the ledger. UsedShare: domains that own it in the
 * ledger that they have applied.
 */
var sig Share, UsedShare in Domain {}

/** Domains that may not use their share yet after a lapse. */
var sig CatchingUp in Domain {}

/** The relation expired has a pair (d, e) if d considers the lease of e expired. */
one sig Views { var expired: Domain -> Domain }

/** The newest version that every domain has applied, except those whose lease has lapsed. */
one sig InForce { var version: one Version }

pred leaseValid[d: Domain] { d.leaseAge != age/last }

pred sameVotes { read' = read and unansweredBase' = unansweredBase and confirmed' = confirmed }

pred sameHistory { current' = current and author' = author and base' = base }

pred sameReplicas { applied' = applied and floor' = floor }

pred sameShares { Share' = Share and UsedShare' = UsedShare }

pred sameVersions { inUse' = inUse and recorded' = recorded }

pred sameLeases { leaseAge' = leaseAge and CatchingUp' = CatchingUp }

pred sameViews { seen' = seen and seenAge' = seenAge and expired' = expired }

// ---- Concurrent votes of operators --------------------------------------------------------------

pred readLimit[o: Operator] {
  no o.unansweredBase
  read' = read ++ o->Store.current
  unansweredBase' = unansweredBase and confirmed' = confirmed - o->Version
  sameHistory and sameReplicas
}

/** Operator o writes the next version; the answer may be lost. */
pred vote[o: Operator] {
  some o.read and no o.unansweredBase
  read' = read
  let next = Store.current.next {
    {
      ConditionalVote in On implies o.read = Store.current
      some next
      current' = Store->next
      author' = author + next->o
      base' = base + next->o.read
      (confirmed' = confirmed ++ o->next and unansweredBase' = unansweredBase)
        or (unansweredBase' = unansweredBase + o->o.read and confirmed' = confirmed - o->Version)
    } or {
      sameHistory
      confirmed' = confirmed - o->Version
      unansweredBase' = unansweredBase + o->o.read
        or (o.read != Store.current and unansweredBase' = unansweredBase)
    }
  }
  sameReplicas
}

/** Reads the limit after an unknown outcome; confirms the vote only if o wrote the version read. */
pred readBack[o: Operator] {
  some o.unansweredBase
  unansweredBase' = unansweredBase - o->Version
  confirmed' = confirmed + ((Store.current != o.unansweredBase
    and (ReadBackAuthor in On implies Store.current.author = o)) implies o->Store.current
    else none->none)
  read' = read - o->Version
  sameHistory and sameReplicas
}

// ---- Propagation ----------------------------------------------------------------------------

/** A change of any accepted version arrives, possibly late. */
pred apply[r: Replica, v: Version] {
  version/lte[v, Store.current] and some r.applied
  HigherVersionOnly in On implies version/gt[v, r.applied]
  applied' = applied ++ r->v
  floor' = floor
  sameHistory and sameVotes
}

/** The domain's lease object records the version that its replicas have applied. */
pred record[r: Replica] {
  some r.applied
  floor' = floor ++ r->r.applied
  applied' = applied
  sameHistory and sameVotes
}

pred restart[r: Replica] {
  applied' = applied - r->Version
  floor' = floor
  sameHistory and sameVotes
}

/** A restarted replica takes a snapshot from a peer, which may lag, or from the store. */
pred snapshot[r: Replica] {
  no r.applied
  some v: (Replica - r).applied + Store.current {
    SnapshotNotOlder in On implies version/gte[v, r.floor]
    applied' = applied + r->v
  }
  floor' = floor
  sameHistory and sameVotes
}

pred voteIdle { sameHistory and sameVotes and sameReplicas }

pred voteTrace {
  Store.current = version/first
  no read and no unansweredBase and no confirmed and no author and no base
  Replica.applied = version/first and Replica.floor = version/first
  all r: Replica | some r.applied
  always (voteIdle
    or (some o: Operator | readLimit[o] or vote[o] or readBack[o])
    or (some r: Replica | record[r] or restart[r] or snapshot[r]
      or (some v: Version | apply[r, v])))
}

// ---- Shares, leases and reservations --------------------------------------------------------

/**
 * A limit of value n has 3 n units: n for each domain's isolated share and n for the one share that
 * moves between the two domains.
 */
fun unitsOfLimit[n: Int]: Int { plus[n, plus[n, n]] }

/** The units of a domain without or, if some domain is given, with the share. */
fun unitsOfDomain[withShare: set Domain, n: Int]: Int {
  some withShare implies plus[n, n] else n
}

/** The highest limit among some versions; equal values count once. */
fun highest[vs: set Version]: Int { { v: vs | no w: vs | w.value > v.value }.value }

/** The versions from v to the current one. */
fun versionsFrom[v: Version]: set Version { v.*(version/next) & Store.current.*(version/prev) }

fun positive[n: Int]: Int { n > 0 implies n else 0 }

/** The highest limit that e may still use: of the version that d has read for e, or a later one. */
fun oldValue[d, e: Domain]: Int {
  ReserveHighest in On implies highest[versionsFrom[d.seen[e]]] else d.seen[e].value
}

/** The units that d reserves for e, whose recorded version is older than the limit of d. */
fun reserved[d, e: Domain]: Int {
  unitsOfDomain[(e & UsedShare) - d.(Views.expired), oldValue[d, e]]
}

/** The units of e under the limit that d has applied. */
fun partOf[d, e: Domain]: Int { unitsOfDomain[e & UsedShare, d.inUse.value] }

/** The units that d reserves for e beyond those of partOf. */
fun excess[d, e: Domain]: Int {
  version/lt[d.seen[e], d.inUse] implies positive[minus[reserved[d, e], partOf[d, e]]] else 0
}

/** The units that d may use now. */
fun mayUse[d: Domain]: Int {
  let lapsed = { l: d | l in CatchingUp or (LeaseAtHolder in On and not leaseValid[l]) },
      own = unitsOfDomain[(d & UsedShare) - lapsed, d.inUse.value] |
    Reserve in On implies positive[minus[own, (sum e: Domain - d | excess[d, e])]] else own
}

/** Raises InForce to the newest version that every domain with a valid lease has applied. */
pred updateInForce {
  let inForce = { v: Version | version/lte[v, Store.current'] and
      (all d: Domain | version/gte[d.inUse', v] or d.leaseAge' = age/last) } |
    InForce.version' = version/max[inForce + InForce.version]
}

/** The domains whose use without a lease must fit into a voted limit. */
fun counted: set Domain { { d: Domain | RefuseCountsAll in On or not leaseValid[d] } }

/** A vote is refused when the limit would go below what domains may use without a lease. */
pred voteLimit {
  let next = Store.current.next {
    some next
    RefuseBelowUse in On implies
      unitsOfLimit[next.value] >=
        (sum d: counted | highest[versionsFrom[version/min[Domain.recorded]]])
    current' = Store->next
  }
  sameShares and sameVersions and sameLeases and sameViews and updateInForce
}

/** A reachable domain applies the current limit and shares. */
pred applyLimit[d: Domain] {
  leaseValid[d] and d.inUse != Store.current
  inUse' = inUse ++ d->Store.current
  recorded' = recorded
  Views.expired' = Views.expired - d->Domain
  seen' = seen and seenAge' = seenAge
  current' = current
  sameShares and sameLeases and updateInForce
}

/** A reachable domain applies the current shares. */
pred applyShares[d: Domain] {
  leaseValid[d]
  UsedShare' = UsedShare - d + (d & Share)
  Share' = Share and current' = current
  sameVersions and sameLeases and sameViews and updateInForce
}

/** The lease object gets a new counter and the applied version. */
pred renew[d: Domain] {
  leaseAge' = leaseAge ++ d->age/first
  recorded' = recorded ++ d->d.inUse
  inUse' = inUse
  CatchingUp' = (CatchUp in On and not leaseValid[d] implies CatchingUp + d else CatchingUp)
  seenAge' = seenAge - Domain->d->Age
  seen' = seen and expired' = expired
  current' = current
  sameShares and updateInForce
}

/** After a lapse: reads the current limit and shares, then uses the share again. */
pred catchUp[d: Domain] {
  d in CatchingUp and leaseValid[d]
  CatchingUp' = CatchingUp - d
  inUse' = inUse ++ d->Store.current
  recorded' = recorded
  UsedShare' = UsedShare - d + (d & Share)
  Views.expired' = Views.expired - d->Domain
  seen' = seen and seenAge' = seenAge and leaseAge' = leaseAge
  Share' = Share and current' = current
  updateInForce
}

/** Domain d reads e's lease object: the recorded version, and a counter that restarts the wait. */
pred observe[d, e: Domain] {
  d != e and no d.seenAge[e]
  seen' = seen - d->e->Version + d->e->e.recorded
  seenAge' = seenAge + d->e->age/first
  Views.expired' = Views.expired - d->e
  current' = current
  sameShares and sameVersions and sameLeases and updateInForce
}

/** Domain d considers e's lease expired: its counter did not change for a full lease duration. */
pred expire[d, e: Domain] {
  d != e and d->e not in Views.expired
  ExpiryWait in On implies d.seenAge[e] = age/last
  expired' = expired + Views->d->e
  seen' = seen and seenAge' = seenAge and current' = current
  sameShares and sameVersions and sameLeases and updateInForce
}

/** The coordinator of the giver lowers its share in the ledger. */
pred transferGive[d: Domain] {
  d in Share
  Share' = Share - d
  UsedShare' = UsedShare and current' = current
  sameVersions and sameLeases and sameViews and updateInForce
}

/** The taker raises its share, after the giver has applied the lowered share. */
pred transferTake[d: Domain] {
  d not in Share
  GiverFirst in On implies no Share
  GiverApplied in On implies UsedShare in Share + d
  Share' = Share + d
  UsedShare' = UsedShare and current' = current
  sameVersions and sameLeases and sameViews and updateInForce
}

/** Time advances on every monotonic clock. */
pred tick {
  all d: Domain {
    d.leaseAge' = older[d.leaseAge]
    all e: Domain | d.seenAge'[e] = { a: Age | some d.seenAge[e] and a = older[d.seenAge[e]] }
  }
  CatchingUp' = CatchingUp
  seen' = seen and expired' = expired and current' = current
  sameShares and sameVersions and updateInForce
}

fun older[a: Age]: Age { a = age/last implies age/last else a.next }

pred shareIdle { sameShares and sameVersions and sameLeases and sameViews and current' = current }

pred shareTrace {
  Store.current = version/first and InForce.version = version/first
  no CatchingUp and no Views.expired and no seenAge
  one Share and UsedShare = Share
  all v: Version | v.value in 1 + 2 + 3
  all d: Domain {
    d.inUse = version/first and d.recorded = version/first and d.leaseAge = age/first
    all e: Domain | d.seen[e] = version/first
  }
  no author and no base
  always (author' = author and base' = base)
  always (
    (shareIdle and InForce.version' = InForce.version) or voteLimit or tick
    or (some d: Domain | applyLimit[d] or applyShares[d] or renew[d] or catchUp[d]
      or transferGive[d] or transferTake[d]
      or (some e: Domain | observe[d, e] or expire[d, e])))
}

// ---- Share properties and vote properties ----------------------------------------------------

/** A running replica never reverts to an older version, nor to one below its recorded version. */
pred noRevert {
  always all r: Replica | some r.applied implies {
    version/gte[r.applied, r.floor]
    some r.applied' implies version/gte[r.applied', r.applied]
  }
}

/** A confirmed operator wrote the version, directly after the one it had read. */
pred rejectedVoteIsNeverConfirmed {
  always all o: Operator | some o.confirmed implies
    (o.confirmed.author = o and o.confirmed.base = o.confirmed.prev)
}

/** The domains together may never use more than the limit in force or a newer, higher one. */
pred sumWithinLimit {
  always some v: versionsFrom[InForce.version] | (sum d: Domain | mayUse[d]) <= unitsOfLimit[v.value]
}

/** If e still applies an older limit than d, d assumes for e at least what e may use. */
pred othersAreCovered {
  always all disj d, e: Domain | version/lt[e.inUse, d.inUse] implies
    mayUse[e] <= plus[partOf[d, e], excess[d, e]]
}

// ---- Commands -------------------------------------------------------------------------------

/** Each operator's vote takes effect, one through readBack; a restarted replica applies both. */
run bothOperatorsWin {
  allGuards and voteTrace
  some disj o, p: Operator, r: Replica {
    eventually (some o.unansweredBase and after some o.confirmed)
    eventually some p.confirmed
    eventually (no r.applied and eventually r.applied = version/first.next.next)
  }
} for exactly 2 Operator, exactly 4 Version, exactly 2 Replica, 0 Domain, exactly 2 Age, 5 Int,
  1..9 steps expect 1

/** A lowered limit is in force while a cut-off domain uses its isolated share of the old one. */
run loweredLimitInForceWhileCutOff {
  allGuards and shareTrace
  some disj d, e: Domain | eventually (
    InForce.version.value < e.inUse.value and not leaseValid[e]
    and d.inUse = InForce.version and leaseValid[d] and d not in CatchingUp
    and mayUse[e] = e.inUse.value and mayUse[d] > 0)
} for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  1..8 steps expect 1

/** A share moves to the other domain and is used there. */
run shareMoves {
  allGuards and shareTrace
  some d: Domain | d not in UsedShare and eventually d in UsedShare
} for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  1..8 steps expect 1

check noRevertHolds { (allGuards and voteTrace) implies noRevert }
  for exactly 2 Operator, exactly 4 Version, exactly 2 Replica, 0 Domain, exactly 2 Age, 5 Int,
  9..9 steps expect 0

check rejectedVoteIsNeverConfirmedHolds { (allGuards and voteTrace) implies rejectedVoteIsNeverConfirmed }
  for exactly 2 Operator, exactly 4 Version, exactly 2 Replica, 0 Domain, exactly 2 Age, 5 Int,
  9..9 steps expect 0

check sumWithinLimitHolds { (allGuards and shareTrace) implies sumWithinLimit }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 0

check othersAreCoveredHolds { (allGuards and shareTrace) implies othersAreCovered }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 0

check withoutConditionalVoteFails_rejectedVoteIsNeverConfirmed { (without[ConditionalVote] and voteTrace) implies rejectedVoteIsNeverConfirmed }
  for exactly 2 Operator, exactly 4 Version, exactly 2 Replica, 0 Domain, exactly 2 Age, 5 Int,
  9..9 steps expect 1

check withoutReadBackAuthorFails_rejectedVoteIsNeverConfirmed { (without[ReadBackAuthor] and voteTrace) implies rejectedVoteIsNeverConfirmed }
  for exactly 2 Operator, exactly 4 Version, exactly 2 Replica, 0 Domain, exactly 2 Age, 5 Int,
  9..9 steps expect 1

check withoutHigherVersionOnlyFails_noRevert { (without[HigherVersionOnly] and voteTrace) implies noRevert }
  for exactly 2 Operator, exactly 4 Version, exactly 2 Replica, 0 Domain, exactly 2 Age, 5 Int,
  9..9 steps expect 1

check withoutSnapshotNotOlderFails_noRevert { (without[SnapshotNotOlder] and voteTrace) implies noRevert }
  for exactly 2 Operator, exactly 4 Version, exactly 2 Replica, 0 Domain, exactly 2 Age, 5 Int,
  9..9 steps expect 1

check withoutLeaseAtHolderFails_sumWithinLimit { (without[LeaseAtHolder] and shareTrace) implies sumWithinLimit }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1

check withoutExpiryWaitFails_othersAreCovered { (without[ExpiryWait] and shareTrace) implies othersAreCovered }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1

check withoutReserveFails_sumWithinLimit { (without[Reserve] and shareTrace) implies sumWithinLimit }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1

check withoutReserveHighestFails_othersAreCovered { (without[ReserveHighest] and shareTrace) implies othersAreCovered }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1

check withoutRefuseBelowUseFails_sumWithinLimit { (without[RefuseBelowUse] and shareTrace) implies sumWithinLimit }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1

check withoutRefuseCountsAllFails_sumWithinLimit { (without[RefuseCountsAll] and shareTrace) implies sumWithinLimit }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1

check withoutCatchUpFails_sumWithinLimit { (without[CatchUp] and shareTrace) implies sumWithinLimit }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1

check withoutGiverFirstFails_sumWithinLimit { (without[GiverFirst] and shareTrace) implies sumWithinLimit }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1

check withoutGiverAppliedFails_sumWithinLimit { (without[GiverApplied] and shareTrace) implies sumWithinLimit }
  for exactly 2 Domain, exactly 3 Version, exactly 3 Age, 0 Operator, 0 Replica, 5 Int,
  8..8 steps expect 1
