// At-most-once execution by claims (docs/at-most-once.md), for one key.
//
// Flows 0 and 1 are requests with the same key on two entry VMs. Flow 2 is a
// repeated request on the VM of flow 0 after that VM has crashed and restarted.
// A message is a flag that is set when the message is sent. The message may be
// applied at any later time, any number of times, in any order, or never. This
// covers loss, delay, duplication and reordering. The claim group appends a
// claim before it is durable, and a change of leader may lose a claim that is
// not durable.
//
// Each of these macros removes one guard, and the check must then fail:
// expect-failure: GRANT_AFTER_DEADLINE
// expect-failure: GRANT_BEFORE_DURABLE
// expect-failure: GRANT_OVER_FINISHED
// expect-failure: GRANT_OVER_UNKNOWN
// expect-failure: ACT_ON_LATE_GRANT
// expect-failure: SEND_WITHOUT_GRANT
// expect-failure: RETRY_AFTER_SEND
// expect-failure: RELEASE_AFTER_SEND
// expect-failure: RELEASE_BY_ANYBODY
// expect-failure: NO_INCARNATION

#define FLOWS 3

mtype = { none, claimed, finished, unknown, released };

mtype record = none;
byte owner;             // identity of the owner; if released, of the last one
byte holder;            // flow that receives the grant
bool deadline_passed;
bool durable = true;    // the last claim is stored on a majority

byte runs;              // number of executions at the endpoints
bool sent[FLOWS];       // the first byte may have been sent
bool not_run[FLOWS];    // the response to the caller was "not run"
bool crashed[FLOWS];

bool claim_message[FLOWS];
bool release_message[FLOWS];
bool finish_message[FLOWS];
bool unknown_message[FLOWS];
bool grant_response[FLOWS];
bool refusal_response[FLOWS];

// A restarted VM differs from the previous owner only in its incarnation.
#ifdef NO_INCARNATION
#define IDENTITY(i) (i % 2)
#else
#define IDENTITY(i) (i)
#endif

inline Grant(i) {
  record = claimed;
  owner = IDENTITY(i);
  holder = i;
  deadline_passed = false;
  durable = false;
#ifdef GRANT_BEFORE_DURABLE
  grant_response[i] = true;
#endif
}

inline ApplyClaim(i) {
  if
  :: record == none -> Grant(i)
  :: record == released ->
     if
     :: owner != IDENTITY(i) -> Grant(i)
     :: else -> refusal_response[i] = true
     fi
  :: record == claimed ->
     if
     :: owner == IDENTITY(i) ->
        if
        :: durable -> grant_response[i] = true
        :: else
        fi
#ifdef GRANT_AFTER_DEADLINE
     :: owner != IDENTITY(i) && deadline_passed -> Grant(i)
     :: owner != IDENTITY(i) && !deadline_passed -> refusal_response[i] = true
#else
     :: owner != IDENTITY(i) -> refusal_response[i] = true
#endif
     fi
  :: record == finished ->
#ifdef GRANT_OVER_FINISHED
     Grant(i)
#else
     assert(runs == 1);  // the stored response comes from an execution
     refusal_response[i] = true
#endif
  :: record == unknown ->
#ifdef GRANT_OVER_UNKNOWN
     Grant(i)
#else
     refusal_response[i] = true
#endif
  fi
}

inline ApplyRelease(i) {
  if
  :: record == none -> record = released; owner = IDENTITY(i)
#ifdef RELEASE_BY_ANYBODY
  :: record == claimed ->
#else
  :: record == claimed && owner == IDENTITY(i) ->
#endif
     assert(runs == 0);  // a released claim has certainly not been executed
     record = released
  :: else
  fi
}

inline ApplyFinish(i) {
  if
  :: (record == claimed || record == unknown) && owner == IDENTITY(i) ->
     assert(runs == 1 && sent[holder]);
     record = finished
  :: else
  fi
}

inline ApplyUnknown(i) {
  if
  :: record == claimed && owner == IDENTITY(i) -> record = unknown
  :: else
  fi
}

// Network link from one flow to the claim group.
proctype Link(byte i) {
end:
  do
  :: atomic { claim_message[i] -> ApplyClaim(i) }
  :: atomic { release_message[i] -> ApplyRelease(i) }
  :: atomic { finish_message[i] -> ApplyFinish(i) }
  :: atomic { unknown_message[i] -> ApplyUnknown(i) }
  od
}

// Replication of the last claim, changes of leader, and expiry of the owner's
// deadline.
proctype Group() {
end:
  do
  :: atomic {
       !durable -> durable = true;
       if
       :: record == claimed -> grant_response[holder] = true
       :: else
       fi
     }
  :: atomic { !durable && record == claimed -> record = none; durable = true }
  :: atomic { record == claimed && !deadline_passed -> deadline_passed = true }
  od
}

inline Run(i) {
  sent[i] = true;
  runs++;
  assert(runs <= 1);
  assert(!not_run[i])
}

proctype Flow(byte i) {
end_wait:
  (i != 2 || crashed[0]);
  claim_message[i] = true;
end_claiming:
  do
  :: atomic { grant_response[i] -> goto granted }
  :: atomic { refusal_response[i] -> goto done }
  :: goto give_up             // no grant in time
  :: goto crash
  od;

granted:
  if
  :: atomic { Run(i) }
  :: goto granted             // connection refused, nothing sent: next endpoint
  :: goto give_up             // no endpoint left, or deadline passed
  :: goto crash
  fi;
  if
  :: finish_message[i] = true // response received
  :: // response lost
#ifdef RELEASE_AFTER_SEND
     release_message[i] = true
#else
     unknown_message[i] = true
#endif
#ifdef RETRY_AFTER_SEND
  :: atomic { Run(i) }
#endif
  :: goto crash
  fi;
  goto done;

give_up:
#ifdef SEND_WITHOUT_GRANT
  atomic { Run(i) };
  goto done;
#endif
  atomic { not_run[i] = true; release_message[i] = true };
end_late:
  do
  :: atomic {
       grant_response[i] ->
#ifdef ACT_ON_LATE_GRANT
       Run(i)
#else
       release_message[i] = true
#endif
     }
  :: goto crash
  od;

crash:
  crashed[i] = true;
done:
  skip
}

init {
  atomic {
    byte i;
    for (i : 0 .. FLOWS - 1) {
      run Flow(i);
      run Link(i)
    }
    run Group()
  }
}
