#ifndef MARJORAMSILL_PROCESS_PLACEMENT_WORK_SAMPLE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_WORK_SAMPLE_H_

#include <chrono>
#include <cstdint>
#include <string_view>

namespace marjoramsill {

enum class work_kind : std::uint8_t {
  /// From sending a request to the first event of its stream.
  kFirstEvent,
  /// Mean pause between events of a stream.
  kPause,
  /// A request whose response is not a stream.
  kPlain,
};

/// How long a piece of work took at an endpoint.
struct work_sample {
  work_kind kind = work_kind::kPlain;
  /// Durations are compared among the requests of one route.
  std::string_view route;
  std::chrono::microseconds took{0};
  /// kFirstEvent: placement_choice::usual_ms of the request.
  double usual_ms = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_WORK_SAMPLE_H_
