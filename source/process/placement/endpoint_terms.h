#ifndef MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_TERMS_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_TERMS_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "process/directory/shared_load.h"
#include "process/placement/limit_share.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct stated_terms;

/// The terms on which one endpoint takes requests, by what it has stated in
/// responses to this entry VM and, for limits of the whole fleet, to others.
/// Choosing, repeating and resuming ask this class only.
class endpoint_terms {
 public:
  explicit endpoint_terms(endpoint_digest endpoint);

  /// A response to this VM stated these terms. `is_success`: an endpoint that
  /// states no limit in a success has none; a failure may come from a part of
  /// it that does not know the limits. `spread`: random number from 0 to 1 by
  /// which VMs return at different times after a pause.
  void Record(const stated_terms& stated, bool is_success, double spread,
              steady_time now);
  /// Records what counts for this VM alone, from a response to an earlier
  /// request.
  void RecordOwn(const stated_terms& stated, double spread, steady_time now);
  /// Another entry VM received it at `measured_at`. Without a refusal limit it
  /// knew none.
  void RecordShared(std::optional<double> limit,
                    std::optional<std::uint32_t> refusal_limit,
                    steady_time measured_at);
  /// The endpoint has started anew, under the same id. A recent pause holds
  /// for a time, since the new start may have asked for it already.
  void Restart();

  /// The endpoint takes requests from this VM now.
  bool IsOpen(steady_time now) const { return !is_leaving_ && !IsPaused(now); }
  /// The endpoint said in a response that it leaves.
  bool is_leaving() const { return is_leaving_; }
  /// The endpoint wants no request from this VM now, but may later.
  bool IsPaused(steady_time now) const { return now < paused_until_; }
  /// Time until the pause ends; 0 without one.
  std::chrono::microseconds PauseLeft(steady_time now) const;
  /// Refusals in one second that it survives, or kUnlimitedRefusals; nothing
  /// before the first response.
  const std::optional<std::uint32_t>& refusal_limit() const {
    return refusal_limit_;
  }
  limit_share& limit() { return limit_; }
  const limit_share& limit() const { return limit_; }

  /// Whether limits were stated that the other VMs have to know.
  bool has_unshared() const { return !is_shared_; }
  void MarkShared() { is_shared_ = true; }
  /// When the endpoint last stated its limits to this VM.
  steady_time stated_at() const { return stated_at_; }

 private:
  void RecordPause(std::chrono::milliseconds asked, double spread,
                   steady_time now);
  void RecordLimit(std::optional<double> per_second, steady_time now);
  void RecordRefusalLimit(std::uint32_t refusals, steady_time now);

  const endpoint_digest endpoint_;
  limit_share limit_;
  std::optional<std::uint32_t> refusal_limit_;
  steady_time refusal_limit_at_;
  bool is_shared_ = true;
  steady_time stated_at_;
  steady_time paused_at_;
  steady_time paused_until_;
  bool is_leaving_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_TERMS_H_
