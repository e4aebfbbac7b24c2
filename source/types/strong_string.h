#ifndef MARJORAMSILL_TYPES_STRONG_STRING_H_
#define MARJORAMSILL_TYPES_STRONG_STRING_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace marjoramsill {

/// String with a distinct type per Tag, so that different kinds of identifiers
/// don't convert to each other.
template <class Tag>
class strong_string {
 public:
  strong_string() = default;
  explicit strong_string(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const strong_string&, const strong_string&) = default;
  // clang-tidy 14 mistakes the defaulted comparison for a use of 0 as a
  // pointer. NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const strong_string&, const strong_string&) = default;

 private:
  std::string value_;
};

}  // namespace marjoramsill

template <class Tag>
struct std::hash<marjoramsill::strong_string<Tag>> {
  std::size_t operator()(
      const marjoramsill::strong_string<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // MARJORAMSILL_TYPES_STRONG_STRING_H_
