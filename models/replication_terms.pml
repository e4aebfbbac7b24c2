/* replication.pml with fixed voters and four terms: covers the shortest
 * schedule in which an entry of an earlier term is lost that was committed only
 * by counting replicas. */

// expect-failure: NO_OWN_TERM

#define N 4
#define INITIAL_VOTERS 7
#define MAX_TERM 4
#define MAX_LOG 2
#define MAX_LOST_DISKS 0
#define MAY_CAMPAIGN 7
#define MAY_BE_CHANGED 0
#define MAY_STEP_DOWN 31
#include "replication.pml"
