#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_CHOICE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_CHOICE_H_

#include <cstddef>
#include <string>

#include "types/units.h"

namespace marjoramsill {

class endpoint_belief;

/// The endpoint chosen for a request, and what decided.
struct placement_choice {
  endpoint_belief* endpoint = nullptr;
  /// Endpoints that could have been chosen.
  std::size_t candidates = 0;
  double cost_ms = 0;
  /// Time until a place is free there.
  double wait_ms = 0;
  double load = 0;
  /// Age of the endpoint's last load report; negative without one.
  double load_age_ms = -1;
  token_count cached;
  /// IP:PORT of another endpoint that probably keeps more of the prompt; empty
  /// if none is known.
  std::string fetch_from;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PLACEMENT_CHOICE_H_
