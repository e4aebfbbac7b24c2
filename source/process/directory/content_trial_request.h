#ifndef MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_REQUEST_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/directory/content_trial.h"

namespace marjoramsill {

/// What an entry VM wants of a lease for a trial.
enum class content_trial_action : std::uint8_t { kAcquire = 0, kRelease = 1 };

/// Asks a control process for leases on all of these contents, or gives back
/// those that it has granted to this VM.
struct content_trial_request {
  content_trial_action action = content_trial_action::kAcquire;
  /// Tells the requests of a VM apart, so that it does not release leases that
  /// an earlier one holds.
  std::uint64_t number = 0;
  std::vector<content_trial> trials;

  friend bool operator==(const content_trial_request&,
                         const content_trial_request&) = default;
};

/// Largest number of contents in one request.
inline constexpr std::size_t kMaxContentTrials = 16;
/// Response that grants the leases. Any other one does not, like the empty
/// response of a build that does not know the kind.
inline constexpr std::string_view kTrialGranted = "granted";

std::string EncodeContentTrials(const content_trial_request& request);
/// Nothing if the bytes are malformed.
std::optional<content_trial_request> DecodeContentTrials(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_TRIAL_REQUEST_H_
