#ifndef MARJORAMSILL_PROCESS_ENTRY_RELAY_TABLE_H_
#define MARJORAMSILL_PROCESS_ENTRY_RELAY_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/directory/relay_offer.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Entry VMs that this one may hand requests on to. Spreads the requests by
/// those that are in progress, and prefers VMs of the same failure domain.
class relay_table {
 public:
  explicit relay_table(random_source random);

  void SetOffers(const std::vector<relay_offer>& offers);
  /// Chooses a VM for a request to `pool`, apart from those in `tried`. Returns
  /// its address, or nothing if none is left.
  std::optional<std::string> Pick(const std::vector<std::string>& tried,
                                  const model_id& pool, steady_time now) const;
  /// A request that should have been handed on found no VM.
  void OnShortage(steady_time now) { short_at_ = now; }
  /// True shortly after a shortage: other VMs should be asked for.
  bool IsShort(steady_time now) const;
  void OnStart(const std::string& address) { ++in_flight_[address]; }
  void OnEnd(const std::string& address);
  /// The VM could not be reached, or took no request. It is avoided for a time.
  void OnUnavailable(const std::string& address, steady_time now);
  /// The VM had no place for a request to this pool. It is not asked for one
  /// again for a short time.
  void OnFull(const std::string& address, const model_id& pool,
              steady_time now);

 private:
  bool IsAvoided(const std::string& address, const model_id& pool,
                 steady_time now) const;

  const random_source random_;
  std::vector<relay_offer> offers_;
  std::map<std::string, std::size_t> in_flight_;
  std::map<std::string, steady_time> avoid_until_;
  std::map<std::pair<std::string, model_id>, steady_time> full_until_;
  steady_time short_at_ = steady_time::min();
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_RELAY_TABLE_H_
