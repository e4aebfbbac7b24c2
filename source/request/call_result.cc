#include "request/call_result.h"

#include <algorithm>
#include <array>

namespace marjoramsill {
namespace {

struct failure_description {
  std::string_view name;
  int status;
};

constexpr std::array<failure_description, 11> kFailures = {{
    {"claim-unavailable", 503},
    {"claims-full", 503},
    {"in-progress", 409},
    {"outcome-unknown", 409},
    {"key-reused", 422},
    {"response-not-stored", 409},
    {"no-endpoint", 503},
    {"endpoint-failed", 502},
    {"response-lost", 502},
    {"deadline-exceeded", 504},
    {"response-too-large", 502},
}};

const failure_description& Describe(failure_kind kind) {
  return kFailures.at(static_cast<std::size_t>(kind));
}

}  // namespace

std::string_view ExecutionStatusName(execution_status value) {
  static constexpr std::array<std::string_view, 3> kNames = {
      "not run", "outcome unknown", "run"};
  return kNames.at(static_cast<std::size_t>(value));
}

std::string_view FailureKindName(failure_kind kind) {
  return Describe(kind).name;
}

int FailureStatus(failure_kind kind) { return Describe(kind).status; }

std::chrono::seconds JitteredRetryAfter(std::chrono::seconds base,
                                        const random_source& random) {
  const auto minimum = std::max(base, std::chrono::seconds(1));
  const auto span = static_cast<std::uint64_t>(minimum.count()) + 1;
  return minimum + std::chrono::seconds(random() % span);
}

}  // namespace marjoramsill
