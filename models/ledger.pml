/*
 * Claims of one idempotency key (packages/ledger).
 *
 * Two members believe that they own the shard at any time, two entry
 * instances want to run the same key, the store may lose an answer after the
 * write took effect and may apply a write late, owners and entry instances
 * may crash or be paused at any step. Checked: the request runs at most once,
 * and no caller is told "not run" by an attempt that ran.
 */
#define OWNERS 2
#define CLAIMANTS 2
#define FREE 0 /* claimed by n is n + 1 */
#define FINISHED 9

/* Store object of the shard. */
byte store_version = 1;
byte store_claim = FREE;
byte store_write_id = 0;

byte runs = 0;
bool ran[CLAIMANTS];
bool told_not_run[CLAIMANTS];
byte claims_used = 0;

mtype = { granted, replay, unresolved, unavailable };
chan request[OWNERS] = [1] of { byte };        /* claimant */
chan answer[CLAIMANTS] = [2] of { mtype };

proctype Owner(byte o) {
  byte version = 0;      /* of the cached shard; 0 for none */
  byte cached = FREE;
  byte claimant;
  byte write_id;
  byte next_write = 0;
  bool applied;
  bool done;
end:
  do
  :: request[o] ? claimant ->
     done = false;
     do
     :: done -> break
     :: !done && version == 0 -> /* ReadShard */
        atomic { version = store_version; cached = store_claim }
     :: !done && version != 0 ->
        if
        :: cached == FINISHED -> answer[claimant] ! replay; done = true
        :: cached != FREE && cached != FINISHED ->
           if
           :: cached == claimant + 1 ->
              /* The same claim again after a lost reply. */
              answer[claimant] ! granted
           :: else -> answer[claimant] ! unresolved
           fi;
           done = true
        :: cached == FREE ->
           next_write++;
           write_id = o * 8 + next_write;
           atomic { /* WriteShard, conditional on the version */
#ifdef NO_VERSION_CHECK
             if
             :: true ->
#else
             if
             :: store_version == version ->
#endif
                store_version++;
                store_claim = claimant + 1;
                store_write_id = write_id;
                applied = true
#ifndef NO_VERSION_CHECK
             :: else -> applied = false
#endif
             fi
           };
           if
           :: applied -> /* confirmed */
              cached = claimant + 1;
              version = store_version;
              answer[claimant] ! granted;
              done = true
           :: !applied -> version = 0 /* kStoreConflict: reads again */
           :: true -> /* kStoreUnknown: the answer was lost */
#ifdef NO_READ_BACK
              /* Takes the lost answer for a failed write and frees the key. */
              atomic { version = store_version };
              cached = FREE;
              answer[claimant] ! unavailable;
              done = true
#else
              atomic {
                version = store_version;
                cached = store_claim;
                if
                :: store_write_id == write_id -> answer[claimant] ! granted
                :: else -> answer[claimant] ! unavailable
                fi;
                done = true
              }
#endif
           fi
        fi
     od
  :: /* Takes the shard over again: drops the cache. */
     version = 0
  od
}

proctype Claimant(byte c) {
  byte owner;
  mtype verdict;
  bool sent = false;
  byte tries = 0;
  do
  :: tries >= 2 -> break
  :: tries < 2 ->
     tries++;
     if
     :: owner = 0
     :: owner = 1
     fi;
     if
     :: request[owner] ! c
     :: told_not_run[c] = !sent; goto over /* no owner reachable */
     fi;
     if
     :: answer[c] ? verdict ->
        if
        :: verdict == granted ->
#ifndef NO_SINGLE_SEND
           if
           :: sent -> goto over
           :: else -> skip
           fi;
#endif
           if
           :: /* Connection refused: released, told not run. */
              atomic {
                if
                :: store_claim == c + 1 && !sent ->
                   store_claim = FREE; store_version++; store_write_id = 0
                :: else -> skip
                fi
              };
              told_not_run[c] = !sent;
              goto over
           :: /* Sent. */
              atomic { sent = true; runs++; ran[c] = true };
              assert(runs <= 1);
              if
              :: atomic { /* complete answer, outcome recorded */
                   if
                   :: store_claim == c + 1 ->
                      store_claim = FINISHED; store_version++; store_write_id = 0
                   :: else -> skip
                   fi
                 };
                 goto over
              :: goto over /* crash: the claim stays */
              :: skip      /* asks again, as after a lost peer reply */
              fi
           fi
        :: verdict == unavailable -> told_not_run[c] = !sent; goto over
        :: else -> goto over
        fi
     :: skip /* the owner's reply is lost: asks again with the same claim */
     fi
  od;
over:
  assert(!(told_not_run[c] && ran[c]))
}

init {
  atomic {
    run Owner(0);
    run Owner(1);
    run Claimant(0);
    run Claimant(1)
  }
}
