/*
 * Duty lease with takeover by a restarted process, and usage counts that are
 * fixed in the store before they are sent.
 *
 * Two instances run one process at a time each; a process may be killed and
 * started again, and a holder may lapse at any moment by its own clock. Time is
 * abstract: a successor on another instance writes only after the holder has
 * lapsed (packages/lease/src/lease_cmd.cc gives the argument), and the bound on
 * outstanding orders is the wait until none is under way.
 *
 * Guards that can be removed, each with a violation:
 *   NO_INSTANCE_CHECK  a process takes over from any instance without waiting
 *   NO_ORDER_BOUND     a new holder acts while earlier orders are under way
 *   NO_FENCING         a new holder keeps the number of the one before
 *   NO_FIXED_COUNTS    a holder sends its own counts, not those in the store
 */
#define INSTANCES 2
#define NONE 255
#define MAX_STARTS 2
#define MAX_SENDS 5

byte lease_instance = NONE;
byte lease_start;
byte lease_fencing;

byte start[INSTANCES];
bool holds[INSTANCES];
bool settled[INSTANCES];
byte fencing[INSTANCES];

byte fixed_counts;     /* In the store; 0: not fixed. */
byte reported_counts;  /* At the platform; 0: none. */
byte highest_fencing;  /* Seen by the platform. */
byte highest_holder = NONE;
byte sends;

/* Two connections; an order may overtake one on the other connection. */
chan first = [1] of { byte, byte, byte };  /* Number, instance, counts. */
chan second = [1] of { byte, byte, byte };
#define NONE_UNDER_WAY (empty(first) && empty(second))

/* Whether instance i may write the lease now. */
#ifdef NO_INSTANCE_CHECK
#define HOLDER_ENDED(i) (lease_instance != i || lease_start != start[i])
#else
#define HOLDER_ENDED(i) \
  ((lease_instance == i && lease_start != start[i]) || \
   (lease_instance != i && lease_instance != NONE && !holds[lease_instance]))
#endif
#define MAY_ACQUIRE(i) (!holds[i] && (lease_instance == NONE || HOLDER_ENDED(i)))

/* Counts as this process knows them; each process has seen other requests. */
#define OWN_COUNTS(i) (1 + 4 * i + start[i])

#ifndef NO_FIXED_COUNTS
#define SENT_COUNTS(i) fixed_counts
#else
#define SENT_COUNTS(i) OWN_COUNTS(i)
#endif
#define MAY_SEND(i) \
  (holds[i] && settled[i] && fixed_counts != 0 && sends < MAX_SENDS)

proctype Node(byte i) {
  do
  :: atomic { MAY_ACQUIRE(i) && lease_fencing < 6 ->
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
  /* The holder's clock says that its right has ended, or a release. */
  :: atomic { holds[i] -> holds[i] = false; settled[i] = false }
#ifndef NO_ORDER_BOUND
  :: atomic { holds[i] && !settled[i] && NONE_UNDER_WAY -> settled[i] = true }
#else
  :: atomic { holds[i] && !settled[i] -> settled[i] = true }
#endif
  /* Created in the store only if nobody has fixed the window before. */
  :: atomic { holds[i] && settled[i] && fixed_counts == 0 ->
       fixed_counts = OWN_COUNTS(i) }
  :: atomic { MAY_SEND(i) && nfull(first) ->
       sends++;
       first ! fencing[i], i, SENT_COUNTS(i) }
  :: atomic { MAY_SEND(i) && nfull(second) ->
       sends++;
       second ! fencing[i], i, SENT_COUNTS(i) }
  /* Killed and started again; its orders may still be under way. */
  :: atomic { start[i] < MAX_STARTS ->
       start[i]++;
       holds[i] = false;
       settled[i] = false }
  :: atomic { sends == MAX_SENDS && NONE_UNDER_WAY -> break }
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
          reported_counts = counts
       fi }
  od
}

init {
  atomic {
    run Node(0);
    run Node(1);
    run Platform();
  }
}
