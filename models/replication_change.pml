/* replication.pml with four founders and one standby: a leader that changes the
 * voters before it has committed an entry of its own term. Two members may
 * campaign, and changes concern one of them and the standby, and one steps
 * down by itself; without these limits five members are too many states. */

// expect-failure: NO_TERM_START

#define N 5
#define FOUNDERS 15
#define MAX_TERM 3
#define MAX_LOG 3
#define DISKS 0
#define CANDIDATES 3
#define CHANGEABLE 17
#define RESTARTS 1
#include "replication.pml"
