#include "claim_cost.h"
#include "extra_attempts.h"

int main() {
  const bool commands = marjoramsill::MeasureCommandsPerClaim();
  const bool memory = marjoramsill::MeasureMemoryPerClaim();
  const bool extra = marjoramsill::MeasureExtraAttempts();
  return commands && memory && extra ? 0 : 1;
}
