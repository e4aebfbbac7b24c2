/* Replicated log with membership changes and disk loss (docs/design.md 5.7).
 *
 * There is one process per member id. A VM whose disk was lost returns as
 * another member, here always the last one. Bounds: N members, MAX_LOST_DISKS
 * lost disks, MAX_TERM terms, MAX_LOG entries per log. An entry consists of its
 * term and, if it changes the configuration, the set of voters.
 *
 * A vote, an append and a commit are single steps that read the other member's
 * state. Each may happen at any time or never, which covers lost and delayed
 * messages. The model has no election timeout: any voter may campaign at any
 * time. So pre-vote and leases, which only prevent needless elections, are left
 * out.
 */

// expect-failure: NO_IDENTITY
// expect-failure: NO_VOTE_SYNC
// expect-failure: NO_LOG_CHECK
// expect-failure: NO_COMMITTED_CHANGE
// expect-failure: TWO_AT_ONCE

#ifndef N
#define N 4
#define INITIAL_VOTERS 7
#define MAX_TERM 3
#define MAX_LOG 3
#define MAX_LOST_DISKS 1
#endif
/* Sets of members: those that may campaign, those that configuration changes
 * may add or remove, and those that may step down without a higher term. */
#ifndef MAY_CAMPAIGN
#define MAY_CAMPAIGN 31
#define MAY_BE_CHANGED 31
#define MAY_STEP_DOWN 31
#endif
#define NONE 15
#define BIT(i) (1 << (i))
#define COUNT_BITS(m) \
  (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + \
   (((m) >> 4) & 1))
#define MAJORITY(m, c) (2 * COUNT_BITS((m) & (c)) > COUNT_BITS(c))
#define AT(i, k) ((i) * MAX_LOG + (k))
#define LAST_TERM(i) (log_length[i] == 0 -> 0 : entry_term[AT(i, log_length[i] - 1)])
#define UP_TO_DATE(c, v) \
  (LAST_TERM(c) > LAST_TERM(v) || \
   (LAST_TERM(c) == LAST_TERM(v) && log_length[c] >= log_length[v]))

byte term[N];
byte vote[N];
byte log_length[N];
byte entry_term[N * MAX_LOG];
byte entry_voters[N * MAX_LOG];
/* Voters in effect, and the log length up to the entry that set them. */
byte voters[N];
byte voters_at[N];
bool present[N];
bool leader[N];
byte votes[N];
byte commit[N];
byte lost_disks;

/* All entries that were ever committed. */
byte committed;
byte committed_term[MAX_LOG];
byte committed_voters[MAX_LOG];
/* Term of the leader that first committed the entry. */
byte committed_in_term[MAX_LOG];

hidden byte x;
hidden byte y;
hidden byte member_set;

inline find_voters(i) {
  voters[i] = INITIAL_VOTERS;
  voters_at[i] = 0;
  for (x : 0 .. (MAX_LOG - 1)) {
    if
    :: x < log_length[i] && entry_voters[AT(i, x)] != 0 ->
       voters[i] = entry_voters[AT(i, x)];
       voters_at[i] = x + 1
    :: else
    fi
  }
}

inline append_entry(i, t, v) {
  entry_term[AT(i, log_length[i])] = t;
  entry_voters[AT(i, log_length[i])] = v;
  log_length[i]++;
  if
  :: v != 0 -> voters[i] = v; voters_at[i] = log_length[i]
  :: else
  fi
}

inline truncate(i, n) {
  for (x : 0 .. (MAX_LOG - 1)) {
    if
    :: x >= n ->
       entry_term[AT(i, x)] = 0;
       entry_voters[AT(i, x)] = 0
    :: else
    fi
  }
  if
  :: log_length[i] > n -> log_length[i] = n
  :: else
  fi
  find_voters(i)
}

inline step_down(i) {
  leader[i] = false;
  votes[i] = 0;
  commit[i] = 0
}

inline observe_term(i, t) {
  if
  :: t > term[i] -> term[i] = t; vote[i] = NONE
  :: else
  fi
  step_down(i)
}

/* A leader has every entry committed in an earlier term, and is the only leader
 * of its term. A leader of an old term may miss entries of later terms. */
inline check_leader(i) {
  for (x : 0 .. (MAX_LOG - 1)) {
    assert(!(x < committed) || committed_in_term[x] >= term[i] ||
           (log_length[i] > x && entry_term[AT(i, x)] == committed_term[x] &&
            entry_voters[AT(i, x)] == committed_voters[x]))
  }
  for (x : 0 .. (N - 1)) {
    assert(x == i || !leader[x] || term[x] != term[i])
  }
}

inline record_commit(i, n) {
  commit[i] = n;
  for (x : 0 .. (MAX_LOG - 1)) {
    if
    :: x < n && x < committed ->
       assert(entry_term[AT(i, x)] == committed_term[x] &&
              entry_voters[AT(i, x)] == committed_voters[x])
    :: x < n && x >= committed ->
       committed_term[x] = entry_term[AT(i, x)];
       committed_voters[x] = entry_voters[AT(i, x)];
       committed_in_term[x] = term[i];
       committed = x + 1
    :: else
    fi
  }
}

inline find_members_with_entry(i, n) {
  member_set = 0;
  for (x : 0 .. (N - 1)) {
    if
    :: present[x] && log_length[x] >= n &&
       entry_term[AT(x, n - 1)] == entry_term[AT(i, n - 1)] ->
       member_set = member_set | BIT(x)
    :: else
    fi
  }
}

/* Sets y to the first position at which the logs of i and j differ. */
inline find_difference(i, j) {
  y = 0;
  do
  :: y < log_length[i] && y < log_length[j] &&
     entry_term[AT(i, y)] == entry_term[AT(j, y)] -> y++
  :: else -> break
  od
}

/* Sets y to 1 if the disk of m may be lost, that is, if every configuration in
 * effect keeps a majority of voters with intact disks. Otherwise only an
 * operator can recover the group, which the model does not cover. */
inline check_disk_loss(m) {
  y = 1;
  member_set = 0;
  for (x : 0 .. (N - 1)) {
    if
    :: present[x] && x != m -> member_set = member_set | BIT(x)
    :: else
    fi
  }
  for (x : 0 .. (N - 1)) {
    if
    :: present[x] && !MAJORITY(member_set, voters[x]) -> y = 0
    :: else
    fi
  }
}

inline lose_disk(m) {
  lost_disks++;
  step_down(m);
  truncate(m, 0);
  term[m] = 0;
  vote[m] = NONE;
#ifndef NO_IDENTITY
  present[m] = false;
  present[N - 1] = true;
#endif
}

#ifdef NO_LOG_CHECK
#define MAY_VOTE(c, v) true
#else
#define MAY_VOTE(c, v) UP_TO_DATE(c, v)
#endif

#define GRANTS(c, v) \
  (c != v && present[c] && present[v] && votes[c] != 0 && !leader[c] && \
   (term[v] < term[c] || (term[v] == term[c] && vote[v] == NONE)) && \
   MAY_VOTE(c, v) && (voters[c] & BIT(v)) != 0)

#define VOTE(c, v) \
  :: GRANTS(c, v) -> \
     observe_term(v, term[c]); \
     vote[v] = c; \
     votes[c] = votes[c] | BIT(v)

#define APPEND(i, j) \
  :: i != j && present[i] && present[j] && leader[i] && term[j] <= term[i] -> \
     find_difference(i, j); \
     if \
     :: y < log_length[i] -> \
        observe_term(j, term[i]); \
        if :: y < log_length[j] -> truncate(j, y) :: else fi; \
        append_entry(j, entry_term[AT(i, y)], entry_voters[AT(i, y)]) \
     :: else \
     fi

#ifdef NO_OWN_TERM
#define MAY_COMMIT(i, n) true
#else
#define MAY_COMMIT(i, n) (entry_term[AT(i, n - 1)] == term[i])
#endif

#define COMMIT(i, n) \
  :: present[i] && leader[i] && commit[i] < n && log_length[i] >= n && \
     MAY_COMMIT(i, n) -> \
     find_members_with_entry(i, n); \
     if \
     :: MAJORITY(member_set, voters[i]) -> record_commit(i, n) \
     :: else \
     fi

#ifdef NO_COMMITTED_CHANGE
#define MAY_CHANGE(i) true
#else
#ifdef NO_TERM_START
#define MAY_CHANGE(i) (commit[i] >= voters_at[i])
#else
#define MAY_CHANGE(i) \
  (commit[i] >= voters_at[i] && commit[i] > 0 && \
   entry_term[AT(i, commit[i] - 1)] == term[i])
#endif
#endif

/* Set of voters after the member m is added or removed. */
#ifdef TWO_AT_ONCE
#define CHANGED(i, m) (voters[i] ^ BIT(m) ^ BIT((m + 1) % N))
#else
#define CHANGED(i, m) (voters[i] ^ BIT(m))
#endif
#define CHANGE(i, m) \
  :: present[i] && leader[i] && log_length[i] < MAX_LOG && MAY_CHANGE(i) && \
     (MAY_BE_CHANGED & BIT(m)) != 0 && \
     (present[m] || (voters[i] & BIT(m)) != 0) && CHANGED(i, m) != 0 -> \
     append_entry(i, term[i], CHANGED(i, m))

proctype member(byte me) {
end:
  do
  :: d_step {
       present[me] && !leader[me] && term[me] < MAX_TERM &&
           (voters[me] & BIT(me) & MAY_CAMPAIGN) != 0 ->
       term[me]++;
       vote[me] = me;
       votes[me] = BIT(me);
       commit[me] = 0
     }
  :: d_step {
       present[me] && !leader[me] && votes[me] != 0 &&
           log_length[me] < MAX_LOG && MAJORITY(votes[me], voters[me]) ->
       leader[me] = true;
       votes[me] = 0;
       check_leader(me);
       append_entry(me, term[me], 0)
     }
  :: d_step {
       present[me] && (MAY_STEP_DOWN & BIT(me)) != 0 &&
           (leader[me] || votes[me] != 0) -> step_down(me)
     }
#ifdef NO_VOTE_SYNC
  :: d_step {
       present[me] && vote[me] != NONE -> step_down(me); vote[me] = NONE
     }
#endif
  :: d_step {
       lost_disks < MAX_LOST_DISKS && present[me] && me != N - 1 ->
       check_disk_loss(me);
       if
       :: y == 1 -> lose_disk(me)
       :: else
       fi
     }
#define STEP(body) :: d_step { if body fi }
#define FOR_MEMBERS_0_TO_3(step) \
  STEP(step(me, 0)) STEP(step(me, 1)) STEP(step(me, 2)) STEP(step(me, 3))
  FOR_MEMBERS_0_TO_3(VOTE)
  FOR_MEMBERS_0_TO_3(APPEND)
  FOR_MEMBERS_0_TO_3(CHANGE)
#if N > 4
  STEP(VOTE(me, 4))
  STEP(APPEND(me, 4))
  STEP(CHANGE(me, 4))
#endif
  STEP(COMMIT(me, 1))
  STEP(COMMIT(me, 2))
  STEP(COMMIT(me, 3))
  od
}

init {
  byte m;
  d_step {
    for (m : 0 .. (N - 1)) {
      voters[m] = INITIAL_VOTERS;
      vote[m] = NONE;
      present[m] = (m < N - 1 || MAX_LOST_DISKS == 0)
    }
    m = 0
  }
  atomic {
    run member(0);
    run member(1);
    run member(2);
    run member(3)
#if N > 4
    ;
    run member(4)
#endif
  }
}
