/* replication.pml with four initial voters and one standby: a leader changes
 * the voters before it has committed an entry of its own term. Two members may
 * campaign, changes add or remove one of them and the standby, and one member
 * may step down without a higher term. Without these limits, the state space of
 * five members is too large to check. */

// expect-failure: NO_TERM_START

#define N 5
#define INITIAL_VOTERS 15
#define MAX_TERM 3
#define MAX_LOG 3
#define MAX_LOST_DISKS 0
#define MAY_CAMPAIGN 3
#define MAY_BE_CHANGED 17
#define MAY_STEP_DOWN 1
#include "replication.pml"
