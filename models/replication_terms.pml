/* replication.pml with fixed voters and four terms: the shortest schedule in
 * which an entry of an earlier term, committed by counting only, is lost. */

// expect-failure: NO_OWN_TERM

#define N 4
#define FOUNDERS 7
#define MAX_TERM 4
#define MAX_LOG 2
#define DISKS 0
#define CANDIDATES 7
#define CHANGEABLE 0
#define RESTARTS 31
#include "replication.pml"
