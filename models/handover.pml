/*
 * Handover of a stream when its entry instance drains (packages/traffic).
 *
 * The source entry instance receives tokens of one stream and forwards them to
 * the caller; while draining it sends the stream to a peer, whose answer may
 * be lost, and then tells the caller where to continue from which position.
 * Late output of the former upstream attempt may still arrive. Checked: the
 * caller receives each position once, in order, and all of one branch: a peer
 * continues after exactly the tokens that the caller has.
 */
#define TOKENS 4
#define PEERS 2

byte received = 0;    /* positions the source got from upstream */
byte caller = 0;      /* positions the caller has */
byte adopted[PEERS];  /* positions handed to a peer, plus one; 0 for none */
byte produced[PEERS]; /* positions known at a peer */
bool draining = false;
bool told = false;
byte target = PEERS;
byte handed = 0;
bool late_output = true;

proctype Source() {
  byte peer;
  byte attempts = 0;
  do
  :: atomic { !draining && received < TOKENS -> received++ }
  :: atomic { !draining && caller < received -> caller++ }
  :: !draining && caller == TOKENS -> goto finished
  :: atomic { !draining -> draining = true; handed = received }
  :: draining ->
     if
     :: attempts >= 3 -> goto finished /* keeps the stream; not told */
     :: else -> skip
     fi;
     attempts++;
     if
     :: peer = 0
     :: peer = 1
     fi;
     atomic { /* StreamHandover: request and tokens so far; adopted once */
       if
       :: adopted[peer] == 0 ->
          adopted[peer] = handed + 1;
          produced[peer] = handed
       :: else -> skip
       fi
     };
     if
     :: true -> /* HandoverResult arrives */
#ifdef NO_FENCE_AFTER_SNAPSHOT
        /* Late output of the upstream still goes to the caller. */
        if
        :: late_output && received < TOKENS -> received++; caller = received
        :: else -> skip
        fi;
#endif
        atomic {
          do
          :: caller < handed -> caller++
          :: else -> break
          od;
          target = peer;
          told = true
        };
        goto finished
     :: true -> skip /* the answer is lost: tries again */
     fi
  od;
finished:
  skip
}

proctype Peer(byte p) {
  do
  :: atomic { adopted[p] != 0 && produced[p] < TOKENS -> produced[p]++ }
  :: adopted[p] != 0 && produced[p] == TOKENS -> break
  :: timeout -> break
  od
}

proctype Caller() {
  byte position;
end:
  told ->
  position = caller;
#ifdef NO_POSITION
  /* Continues from where the peer happens to be. */
  position = produced[target];
#endif
  /* GET /v1/streams/{id}?from=position */
  assert(position == caller);
  assert(adopted[target] != 0);
  assert(adopted[target] - 1 <= position);
  assert(caller == handed);
  do
  :: caller < TOKENS && produced[target] > caller -> caller++
  :: caller == TOKENS -> break
  od
}

init {
  atomic {
    run Source();
    run Peer(0);
    run Peer(1);
    run Caller()
  }
}
