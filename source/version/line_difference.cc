#include "version/line_difference.h"

#include <algorithm>
#include <cstdint>
#include <vector>

#include "version/text_check.h"

namespace marjoramsill {
namespace {

using lines = std::vector<std::string_view>;

// If the table would be larger, the whole changed region is listed. This bounds
// the time that a conflict takes on every control member.
constexpr std::size_t kMaxTableCells = 250'000;

lines SplitLines(std::string_view text) {
  lines split;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    split.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return split;
}

lines WithoutEnds(const lines& all, std::size_t head, std::size_t tail) {
  const auto begin = all.begin() + static_cast<std::ptrdiff_t>(head);
  return lines(begin, all.end() - static_cast<std::ptrdiff_t>(tail));
}

// Last line of a difference that was cut to the size limit.
constexpr std::string_view kCutMarker = "(cut)\n";

void AddLine(char sign, std::size_t index, std::string_view text,
             std::string& out) {
  if (out.size() >= kMaxDifferenceBytes) return;
  out += sign + std::to_string(index + 1) + ": ";
  out.append(text);
  out += '\n';
  if (out.size() > kMaxDifferenceBytes) {
    out.resize(CutText(out, kMaxDifferenceBytes - kCutMarker.size()).size());
    out += kCutMarker;
  }
}

// At(i, j) is the length of the longest common subsequence of the lines of
// `before` from i and of `after` from j.
class lcs_table {
 public:
  lcs_table(const lines& before, const lines& after)
      : columns_(after.size() + 1),
        cells_((before.size() + 1) * (after.size() + 1)) {
    for (std::size_t i = before.size(); i-- > 0;) {
      for (std::size_t j = after.size(); j-- > 0;) {
        cells_[i * columns_ + j] = before[i] == after[j]
                                       ? At(i + 1, j + 1) + 1
                                       : std::max(At(i + 1, j), At(i, j + 1));
      }
    }
  }
  std::uint32_t At(std::size_t i, std::size_t j) const {
    return cells_[i * columns_ + j];
  }

 private:
  std::size_t columns_;
  std::vector<std::uint32_t> cells_;
};

std::string DescribeAll(const lines& before, const lines& after,
                        std::size_t offset) {
  std::string out;
  for (std::size_t i = 0; i < before.size(); ++i) {
    AddLine('-', offset + i, before[i], out);
  }
  for (std::size_t j = 0; j < after.size(); ++j) {
    AddLine('+', offset + j, after[j], out);
  }
  return out;
}

std::string DescribeChanges(const lines& before, const lines& after,
                            std::size_t offset) {
  const lcs_table common(before, after);
  std::string out;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    const bool both = i < before.size() && j < after.size();
    if (both && before[i] == after[j]) {
      ++i, ++j;
    } else if (j == after.size() ||
               (both && common.At(i + 1, j) >= common.At(i, j + 1))) {
      AddLine('-', offset + i, before[i], out);
      ++i;
    } else {
      AddLine('+', offset + j, after[j], out);
      ++j;
    }
  }
  return out;
}

}  // namespace

std::string LineDifference(std::string_view before, std::string_view after) {
  lines first = SplitLines(before);
  lines second = SplitLines(after);
  const std::size_t shorter = std::min(first.size(), second.size());
  std::size_t head = 0;
  while (head < shorter && first[head] == second[head]) ++head;
  std::size_t tail = 0;
  while (tail < shorter - head &&
         first[first.size() - 1 - tail] == second[second.size() - 1 - tail]) {
    ++tail;
  }
  first = WithoutEnds(first, head, tail);
  second = WithoutEnds(second, head, tail);
  if ((first.size() + 1) * (second.size() + 1) > kMaxTableCells) {
    return DescribeAll(first, second, head);
  }
  return DescribeChanges(first, second, head);
}

}  // namespace marjoramsill
