/*
 * Status of a roll-out request in the store, written by duty holders of which
 * several may be active at once. A holder may be killed before, during and after
 * a write, a write may have no effect or arrive late, and a response may be
 * lost. Checked: done and rolled_back are final and exclude each other, and a
 * node takes a roll-out as ended only if it has.
 *
 * Guards: NO_CONDITION writes without the condition of the revision,
 * NO_FINAL_CHECK writes although the status that was read is final,
 * NO_CONFIRMATION takes a write without a response as having had its effect.
 */
#define HOLDERS 2
#define MAX_WRITES 5

mtype = { none, running, done, rolled_back };

#ifdef NO_FINAL_CHECK
#define MAY_WRITE(known) true
#else
#define MAY_WRITE(known) (known != done && known != rolled_back)
#endif

mtype status = none;
mtype final = none;   /* First final status that the store had. */
byte revision = 1;
byte writes = 0;

/* Calls on their way to the store: holder, revision, status. */
chan calls = [HOLDERS] of { byte, byte, mtype };
/* Last call of each holder: 0 no call, 1 in progress, 2 had an effect, 3 had
 * none because of its revision, 4 response lost. */
byte result[HOLDERS];
mtype ended[HOLDERS] = none;

inline apply(who, expected, wanted, had_effect) {
  had_effect = false;
#ifdef NO_CONDITION
  had_effect = true;
#else
  if
  :: expected == revision -> had_effect = true
  :: else -> skip
  fi;
#endif
  if
  :: had_effect ->
     assert(final == none || final == wanted);
     status = wanted;
     revision++;
     if
     :: wanted != running -> final = wanted
     :: else -> skip
     fi
  :: else -> skip
  fi
}

active proctype Store() {
  byte who;
  byte expected;
  mtype wanted;
  bool had_effect;
end:
  do
  :: atomic {
       calls ? who, expected, wanted ->
       if
       :: /* Lost on its way. */
          result[who] = 4
       :: apply(who, expected, wanted, had_effect);
          if
          :: had_effect -> result[who] = 2
          :: !had_effect -> result[who] = 3
          :: /* The response is lost. */
             result[who] = 4
          fi
       fi;
       who = 0; expected = 0; wanted = none; had_effect = false
     }
  od
}

proctype Holder(byte id) {
  byte seen = 0;          /* Revision that was read last; 0: none. */
  mtype known = none;     /* Status that was read with it. */
  mtype wanted = none;    /* Of the call in progress. */
end:
  do
  :: /* Reads the object, in a watch or after a conflict. */
     atomic {
       seen != revision ->
       seen = revision;
       known = status;
       if
       :: known == done || known == rolled_back -> ended[id] = known
       :: else -> skip
       fi
     }
  :: /* Writes running, or the end for which there is evidence. */
     atomic {
       seen != 0 && result[id] == 0 && writes < MAX_WRITES && MAY_WRITE(known) ->
       if
       :: known == none -> wanted = running
       :: wanted = done
       :: wanted = rolled_back
       fi;
       writes++;
       result[id] = 1;
       calls ! id, seen, wanted
     }
  :: /* The call has ended. */
     atomic {
       result[id] > 1 ->
       if
       :: result[id] == 2 && wanted != running ->
          known = wanted;
          ended[id] = wanted
#ifdef NO_CONFIRMATION
       :: result[id] == 4 && wanted != running ->
          known = wanted;
          ended[id] = wanted
#endif
       :: else -> skip
       fi;
       result[id] = 0;
       wanted = none
     }
  :: /* Is killed; the next process at this node knows nothing. A call that was
      * on its way still arrives. */
     atomic {
       seen != 0 && result[id] != 1 ->
       seen = 0;
       known = none;
       wanted = none;
       result[id] = 0;
       ended[id] = none
     }
  od
}

active proctype Observer() {
end:
  do
  :: atomic {
       (ended[0] != none && ended[0] != final) ||
       (ended[1] != none && ended[1] != final) ->
       assert(false)
     }
  od
}

init {
  atomic {
    run Holder(0);
    run Holder(1)
  }
}
