#ifndef MARJORAMSILL_PROCESS_BURN_BURN_WINDOW_H_
#define MARJORAMSILL_PROCESS_BURN_BURN_WINDOW_H_

#include <array>
#include <chrono>
#include <cstddef>

namespace marjoramsill {

/// Time windows over which burn rates and the error budget are computed.
enum class burn_window { k5Min, k30Min, k1Hour, k6Hours, kBudget };

inline constexpr std::size_t kBurnWindowCount = 5;
inline constexpr std::array<std::chrono::minutes, kBurnWindowCount>
    kBurnWindowLength = {std::chrono::minutes(5), std::chrono::minutes(30),
                         std::chrono::minutes(60), std::chrono::minutes(360),
                         std::chrono::minutes(30 * 24 * 60)};

/// Number of points in the plotted series: 6 hours in steps of 5 minutes,
/// newest last.
inline constexpr std::size_t kSeriesPoints = 72;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_BURN_WINDOW_H_
