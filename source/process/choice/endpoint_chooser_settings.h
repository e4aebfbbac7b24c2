#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_SETTINGS_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "process/choice/load_table.h"
#include "types/ids.h"

namespace marjoramsill {

struct endpoint_chooser_settings {
  failure_domain_id own_domain;
  load_table_settings load;
  /// Cache hints kept; a power of two.
  std::size_t hints = 16384;
  /// Most endpoints that share the requests of a hot key.
  std::uint32_t most_homes = 8;
  /// Part of an endpoint's requests above which a key is hot.
  double hot_share = 0.25;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_SETTINGS_H_
