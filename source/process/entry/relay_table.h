#ifndef MARJORAMSILL_PROCESS_ENTRY_RELAY_TABLE_H_
#define MARJORAMSILL_PROCESS_ENTRY_RELAY_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/directory/relay_offer.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Entry VMs that this one may hand requests on to. Spreads the requests by
/// those that are in progress, and prefers VMs of the same failure domain.
class relay_table {
 public:
  explicit relay_table(random_source random);

  void SetOffers(const std::vector<relay_offer>& offers);
  /// Chooses a VM apart from those in `tried`. Returns its address, or nothing
  /// if none is left.
  std::optional<std::string> Pick(const std::vector<std::string>& tried,
                                  steady_time now) const;
  void OnStart(const std::string& address) { ++in_flight_[address]; }
  void OnEnd(const std::string& address);
  /// The VM could not be reached, or took no request. It is avoided for a time.
  void OnUnavailable(const std::string& address, steady_time now);

 private:
  const random_source random_;
  std::vector<relay_offer> offers_;
  std::map<std::string, std::size_t> in_flight_;
  std::map<std::string, steady_time> avoid_until_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_RELAY_TABLE_H_
