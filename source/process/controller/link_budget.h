#ifndef MARJORAMSILL_PROCESS_CONTROLLER_LINK_BUDGET_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_LINK_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "process/control/token_bucket.h"
#include "process/controller/link_use.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Divides the outgoing link of a control VM. Documents for entry VMs take up
/// to kDocumentShare, responses to watchers up to kWatchShare over time, and
/// the rest is reserved for the messages of the replicated log, submissions,
/// reads and acknowledgements, which are never held back. See
/// docs/design/control-link.md. Not thread-safe.
class link_budget {
 public:
  static constexpr double kDocumentShare = 0.5;
  static constexpr double kWatchShare = 0.35;

  /// `link_mbps`: speed of the link in Mbit/s; 0 if unknown, which allows
  /// everything.
  explicit link_budget(double link_mbps);

  /// Whether a response may be sent for this use now.
  bool Allows(link_use use, steady_time now);
  /// The link has room for optional updates: half of the burst is unused.
  bool HasRoom(steady_time now);
  /// A response of this size is sent; `content_bytes` of it are content
  /// records. `has_records`: it has records other than those of ends.
  void Charge(std::size_t bytes, std::size_t content_bytes, bool has_records,
              steady_time now);
  /// An update that is due waits for a later response.
  void CountHeldBack(link_use use) {
    ++held_back_[static_cast<std::size_t>(use)];
  }
  /// Number of updates that waited, by link_use, since the start.
  const std::array<std::uint64_t, kLinkUses>& held_back() const {
    return held_back_;
  }
  /// Most bytes that responses take in any second, apart from the last one,
  /// while no single response is longer than a tenth of kWatchShare's rate.
  std::int64_t MaxBytesPerSecond() const { return rate_ + 2 * burst_; }

 private:
  std::int64_t rate_ = 0;
  std::int64_t burst_ = 0;
  /// For all responses. Negative while urgent ones have overdrawn it. Empty if
  /// the speed of the link is unknown.
  std::optional<token_bucket> watch_;
  /// For records, which would otherwise never be sent during a long series of
  /// urgent responses.
  std::optional<token_bucket> records_;
  std::optional<token_bucket> contents_;
  std::array<std::uint64_t, kLinkUses> held_back_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_LINK_BUDGET_H_
