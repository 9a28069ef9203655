/*
 * Duty lease with releases, takeover by a restarted process, calls that wait in
 * a queue of their holder, and usage counts that are fixed in the store before
 * they are sent.
 *
 * Two instances run one process at a time each. A process may be killed and
 * started again with its memory lost, a holder may lapse at any moment by its
 * own clock, and it may be stopped, so that it releases the lease. Time is
 * abstract: a successor on another instance writes only after the holder has
 * lapsed or released (packages/lease/src/lease_cmd.cc gives the argument), and
 * the bound on outstanding orders is the wait until the network holds none. A
 * connection may hold a call for any time before it enters the network. A lease
 * time passes as one step; `recent` tells whose acts are younger.
 *
 * Guards that can be removed, each with a violation:
 *   NO_INSTANCE_CHECK  a process takes over from any instance without waiting
 *   NO_ORDER_BOUND     a new holder acts while earlier orders are under way
 *   NO_FENCING         a new holder keeps the number of the one before
 *   NO_FIXED_COUNTS    a holder sends its own counts, not those in the store
 *   NO_SEND_CHECK      a queued call leaves without a look at its right
 *   NO_RESET           a lost lease or a kill leaves calls in the connection
 *   NO_FORMER_HOLDERS  the record does not tell who may not act again yet
 */
#define INSTANCES 2
#define NONE 255
#define MAX_STARTS 2
#define MAX_SENDS 4

byte lease_instance = NONE;
byte lease_start;
byte lease_fencing;
byte former = NONE;  /* In the record: held before, may not act again yet. */

byte start[INSTANCES];
bool holds[INSTANCES];
bool settled[INSTANCES];
byte fencing[INSTANCES];
byte queued[INSTANCES];  /* Number of a call that has not left; 0: none. */
byte held[INSTANCES];    /* Number of a call that the connection holds. */
byte held_counts[INSTANCES];

byte fixed_counts;     /* In the store; 0: not fixed. */
byte reported_counts;  /* At the platform; 0: none. */
byte highest_fencing;  /* Seen by the platform. */
byte highest_holder = NONE;
byte sends;

/* Acts within the last lease time: the last actor, and one before it. */
byte last_actor = NONE;
byte recent = NONE;

/* The network; an order may overtake one on another path. */
chan first = [1] of { byte, byte, byte };  /* Number, instance, counts. */
chan second = [1] of { byte, byte, byte };
#define NETWORK_EMPTY (empty(first) && empty(second))
#define NONE_UNDER_WAY (NETWORK_EMPTY && held[0] == 0 && held[1] == 0)

/* Whether instance i may write the lease now. */
#ifdef NO_INSTANCE_CHECK
#define HOLDER_ENDED(i) (lease_instance != i || lease_start != start[i])
#else
#define HOLDER_ENDED(i) \
  ((lease_instance == i && lease_start != start[i]) || \
   (lease_instance != i && lease_instance != NONE && !holds[lease_instance]))
#endif
#ifdef NO_FORMER_HOLDERS
#define STAYS_OUT(i) false
#else
#define STAYS_OUT(i) (former == i)
#endif
#define MAY_ACQUIRE(i) \
  (!holds[i] && !STAYS_OUT(i) && (lease_instance == NONE || HOLDER_ENDED(i)))

/* Counts as this process knows them; each process has seen other requests. */
#define OWN_COUNTS(i) (1 + 4 * i + start[i])

#ifndef NO_FIXED_COUNTS
#define SENT_COUNTS(i) fixed_counts
#else
#define SENT_COUNTS(i) OWN_COUNTS(i)
#endif
#define MAY_ACT(i) (holds[i] && settled[i] && fixed_counts != 0)

/* The right is asked again when a call leaves. */
#ifndef NO_SEND_CHECK
#define MAY_LEAVE(i) (MAY_ACT(i) && queued[i] == fencing[i])
#else
#define MAY_LEAVE(i) (queued[i] != 0)
#endif

inline Lose(i) {
  holds[i] = false;
  settled[i] = false;
#ifndef NO_SEND_CHECK
  queued[i] = 0;
#endif
#ifndef NO_RESET
  held[i] = 0;
#endif
  skip
}

proctype Node(byte i) {
  do
  :: atomic { MAY_ACQUIRE(i) && lease_fencing < 6 ->
       if
       :: lease_instance != NONE && lease_instance != i -> former = lease_instance
       :: else
       fi;
       lease_instance = i;
       lease_start = start[i];
#ifndef NO_FENCING
       lease_fencing++;
#else
       lease_fencing = 1;
#endif
       fencing[i] = lease_fencing;
       holds[i] = true;
       settled[i] = false }
  /* The holder's clock says that its right has ended, or it is stopped: the
     calls end before the release is written. */
  :: atomic { holds[i] -> Lose(i) }
#ifndef NO_ORDER_BOUND
  :: atomic { holds[i] && !settled[i] && NETWORK_EMPTY -> settled[i] = true }
#else
  :: atomic { holds[i] && !settled[i] -> settled[i] = true }
#endif
  /* Created in the store only if nobody has fixed the window before. */
  :: atomic { holds[i] && settled[i] && fixed_counts == 0 ->
       fixed_counts = OWN_COUNTS(i) }
  /* A call is decided; the connection may be busy. */
  :: atomic { MAY_ACT(i) && queued[i] == 0 && sends < MAX_SENDS ->
       sends++;
       queued[i] = fencing[i] }
  :: atomic { MAY_LEAVE(i) && held[i] == 0 ->
       held[i] = queued[i];
       held_counts[i] = SENT_COUNTS(i);
       queued[i] = 0 }
  :: atomic { held[i] != 0 && nfull(first) ->
       first ! held[i], i, held_counts[i];
       held[i] = 0 }
  :: atomic { held[i] != 0 && nfull(second) ->
       second ! held[i], i, held_counts[i];
       held[i] = 0 }
  /* Killed and started again. */
  :: atomic { start[i] < MAX_STARTS ->
       start[i]++;
       queued[i] = 0;
       Lose(i) }
  :: atomic { sends == MAX_SENDS && NONE_UNDER_WAY -> break }
  od
}

/* A lease time passes, which is longer than a call is in the network: what was
   done before it is no longer recent. */
proctype Clock() {
  byte steps;
  do
  :: atomic { steps < 2 && NETWORK_EMPTY ->
       steps++;
       last_actor = NONE;
       recent = NONE;
       former = NONE }
  :: break
  od
}

proctype Platform() {
  byte number, holder, counts;
end:
  do
  :: atomic {
       if
       :: first ? number, holder, counts
       :: second ? number, holder, counts
       fi;
       if
       :: skip /* The order is lost on the way. */
       :: assert(number >= highest_fencing);
          assert(number != highest_fencing || highest_holder == NONE ||
                 holder == highest_holder);
          highest_fencing = number;
          highest_holder = holder;
          assert(reported_counts == 0 || reported_counts == counts);
          reported_counts = counts;
          /* Holders do not act in turn within a lease time. */
          assert(recent != holder || last_actor == holder);
          if
          :: last_actor != holder -> recent = last_actor; last_actor = holder
          :: else
          fi
       fi }
  od
}

init {
  atomic {
    run Node(0);
    run Node(1);
    run Clock();
    run Platform();
  }
}
