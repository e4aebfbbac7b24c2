#ifndef MARJORAMSILL_TYPES_STRONG_NUMBER_H_
#define MARJORAMSILL_TYPES_STRONG_NUMBER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace marjoramsill {

/// 64-bit unsigned number with a distinct type per Tag, so that different kinds
/// of numbers don't convert to each other. Arithmetic requires value().
template <class Tag>
class strong_number {
 public:
  constexpr strong_number() = default;
  constexpr explicit strong_number(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  constexpr strong_number Next() const { return strong_number(value_ + 1); }

  friend constexpr bool operator==(const strong_number&,
                                   const strong_number&) = default;
  // clang-tidy 14 mistakes the defaulted comparison for a use of 0 as a
  // pointer. NOLINTBEGIN(modernize-use-nullptr)
  friend constexpr auto operator<=>(const strong_number&,
                                    const strong_number&) = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  std::uint64_t value_ = 0;
};

}  // namespace marjoramsill

template <class Tag>
struct std::hash<marjoramsill::strong_number<Tag>> {
  std::size_t operator()(
      const marjoramsill::strong_number<Tag>& number) const noexcept {
    return std::hash<std::uint64_t>()(number.value());
  }
};

#endif  // MARJORAMSILL_TYPES_STRONG_NUMBER_H_
