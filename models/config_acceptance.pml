/*
 * Acceptance of a configuration (packages/config, packages/membership).
 *
 * Three members, one store object, two conflicting tickets. Time is kept as
 * remaining ticks, so that runs are unbounded. A held revision is in force at its holder. Checked: once a revision is
 * accepted, a member that may serve (awake, valid serving lease) holds it;
 * held revisions never go back while a process lives; a revision has one
 * ticket.
 *
 * Each guard can be removed with a macro; the checker must then find a
 * violation.
 */
#define MEMBERS 3
/* Ticks; the code has 4 s. The violation without the recheck takes a lease
   longer than one tick, for which a whole search takes many minutes. */
#ifdef NO_ALIVE_RECHECK
#define SERVING_LEASE 2
#endif
#ifndef SERVING_LEASE
#define SERVING_LEASE 1
#endif
#define LEASE_MARGIN 1  /* ticks; the code has 1 s */
#define NOBODY 3

/* Store object configs/current. */
byte store_staged = 0;   /* highest staged revision */
byte store_accepted = 0; /* highest accepted revision */
byte store_ticket[3];    /* ticket that created each revision */

/* Members. */
byte held[MEMBERS];
byte lease_left[MEMBERS]; /* remaining ticks of the serving lease */
byte grant_left[MEMBERS]; /* of a grant underway, plus one; 0 for none */
bool paused[MEMBERS];
bool pauses_used;
bool restarts_used;

/* Coordinator. */
byte wait_left = 0; /* remaining ticks of the wait for older leases */
byte observed_revision = 0;
byte observed_without = NOBODY;

#define MAY_SERVE(i) (!paused[i] && lease_left[i] > 0)

#ifdef NO_REVISION_CHECK
#define REVISION_OK(i, peer) true
#else
#define REVISION_OK(i, peer) (held[i] >= held[peer])
#endif

/* A granter needs a lease of its own: else a member that lost its lease and a
   newcomer with an old document could grant leases to each other. */
#ifdef NO_GRANTER_LEASE
#define GRANTER_OK(peer) true
#else
#define GRANTER_OK(peer) (lease_left[peer] > 0)
#endif

/* A read instead of the conditional write may be stale. */
#ifdef NO_CONFIRMING_WRITE
#define CONFIRMED(i) true
#else
#define CONFIRMED(i) (held[i] == store_staged)
#endif

inline check_serving() {
  byte c = 0;
  do
  :: c < MEMBERS ->
     assert(!(MAY_SERVE(c) && held[c] < store_accepted));
     c++
  :: else -> break
  od
}

/* Ticket t, written against the accepted revision: conditional update. */
proctype Operator(byte t) {
  byte base;
  atomic { base = store_accepted; }
  atomic {
#ifdef NO_CONDITIONAL_UPDATE
    /* Overwrites whatever is staged. */
    store_staged = base + 1;
    assert(store_ticket[base + 1] == 0 || store_ticket[base + 1] == t);
    store_ticket[base + 1] = t
#else
    if
    :: store_staged == base && store_accepted == base ->
       store_staged = base + 1;
       assert(store_ticket[base + 1] == 0);
       store_ticket[base + 1] = t
    :: else -> skip /* kTicketConflict or kTicketStaged */
    fi
#endif
  }
}

proctype Member(byte i) {
  byte peer;
  do
  :: /* Fetches the document from the store or a peer; may be stale. */
     atomic {
       !paused[i] && held[i] < store_staged ->
       held[i] = store_staged
     }
  :: /* A peer grants a ping; held revisions only rise, so a ping that was
        underway for a while would only be refused more often. */
     atomic {
       !paused[i] && grant_left[i] == 0 ->
       if
       :: peer = (i + 1) % MEMBERS
       :: peer = (i + 2) % MEMBERS
       fi;
       if
       :: (!paused[peer] && REVISION_OK(i, peer) && GRANTER_OK(peer)) ->
          grant_left[i] = SERVING_LEASE + 1
       :: else -> skip
       fi;
       peer = 0
     }
  :: /* Confirms its document by a conditional write that changes nothing;
        used by a member that no peer grants a lease. */
     atomic {
       (!paused[i] && grant_left[i] == 0 && CONFIRMED(i)) ->
       grant_left[i] = SERVING_LEASE + 1
     }
  :: /* Receives the acknowledgement, possibly late. */
     atomic {
       !paused[i] && grant_left[i] != 0 ->
#ifdef NO_LEASE_FROM_SEND_TIME
       lease_left[i] = SERVING_LEASE;
#else
       if
       :: grant_left[i] - 1 > lease_left[i] -> lease_left[i] = grant_left[i] - 1
       :: else -> skip
       fi;
#endif
       grant_left[i] = 0;
       check_serving()
     }
  :: /* Is paused, once in a run, without noticing. */
     atomic { !pauses_used && !paused[i] -> pauses_used = true; paused[i] = true }
  :: /* Resumes. */
     atomic { paused[i] -> paused[i] = false; check_serving() }
  :: /* Restarts as a newcomer that read a stale document. */
     atomic {
       !restarts_used && !paused[i] ->
       restarts_used = true;
       held[i] = 0;
#ifndef NO_ALIVE_RECHECK
       /* At the end of its wait the coordinator requires that the holders are
          still alive; a process that restarted meanwhile is a new member. */
       if
       :: observed_without != NOBODY && observed_without != i ->
          observed_revision = 0
       :: else -> skip
       fi;
#endif
       lease_left[i] = 0;
       grant_left[i] = 0
     }
  od
}

/* Any member may coordinate; its own pauses are covered by the interleaving. */
proctype Coordinator() {
  byte without;
  do
  :: /* Observes that all required members hold the staged revision. */
     atomic {
       store_staged > store_accepted && observed_revision < store_staged ->
       if
       :: without = NOBODY
       :: without = 0
       :: without = 1
       :: without = 2
       fi;
       if
       :: (without == 0 || held[0] >= store_staged) &&
          (without == 1 || held[1] >= store_staged) &&
          (without == 2 || held[2] >= store_staged) ->
          observed_revision = store_staged;
          observed_without = without;
          wait_left = SERVING_LEASE + LEASE_MARGIN
       :: else -> skip
       fi;
       without = 0
     }
  :: /* DecideAcceptance(): waits out leases granted before, then accepts. */
     atomic {
       store_staged > store_accepted && observed_revision == store_staged &&
#ifdef NO_LEASE_WAIT
       true ->
#else
       (observed_without == NOBODY || wait_left == 0) ->
#endif
       store_accepted = store_staged;
       check_serving()
     }
  od
}

proctype Clock() {
  byte m;
  do
  :: atomic {
       m = 0;
       do
       :: m < MEMBERS ->
          if
          :: lease_left[m] > 0 -> lease_left[m]--
          :: else -> skip
          fi;
          if
          :: grant_left[m] > 1 -> grant_left[m]--
          :: else -> skip
          fi;
          m++
       :: else -> break
       od;
       m = 0;
       if
       :: wait_left > 0 -> wait_left--
       :: else -> skip
       fi
     }
  od
}

init {
  atomic {
    run Clock();
    run Coordinator();
    run Member(0);
    run Member(1);
    run Member(2);
    run Operator(1);
    run Operator(2)
  }
}
