#include "request/relay_terms.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace marjoramsill {
namespace {

constexpr char kSeparator = ',';
/// Encoded software of a request that may be served by any.
constexpr std::string_view kAnySoftware = "-";
constexpr std::uint64_t kMaxSent = 1'000;
constexpr std::string_view kAttemptsPrefix = "sent,";

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

std::optional<relay_terms> DecodeRelayTerms(std::string_view text) {
  std::array<std::string_view, 3> parts;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::size_t end = std::min(text.find(kSeparator), text.size());
    parts[i] = text.substr(0, end);
    const bool is_last = i + 1 == parts.size();
    if (is_last != (end == text.size())) return std::nullopt;
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  const auto document = ReadNumber(parts[0]);
  const auto sent = ReadNumber(parts[1]);
  if (!document || !sent || *sent > kMaxSent) return std::nullopt;
  relay_terms terms{document_version(*document), static_cast<int>(*sent), {}};
  if (parts[2] == kAnySoftware) return terms;
  const auto software = ReadNumber(parts[2]);
  if (!software) return std::nullopt;
  terms.software = software_digest(*software);
  return terms;
}

}  // namespace

std::string EncodeRelayTerms(const relay_terms& terms) {
  return std::to_string(terms.document.value()) + kSeparator +
         std::to_string(terms.sent) + kSeparator +
         (terms.software ? std::to_string(terms.software->value())
                         : std::string(kAnySoftware));
}

std::optional<relay_terms> TakeRelayTerms(http_field_list& fields) {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [](const http_field& field) {
        return SameFieldName(field.name, kRelayField);
      });
  if (found == fields.end()) return std::nullopt;
  const auto terms = DecodeRelayTerms(found->value);
  fields.erase(found);
  return terms;
}

std::string EncodeRelayAttempts(int attempts) {
  return std::string(kAttemptsPrefix) + std::to_string(attempts);
}

std::optional<int> DecodeRelayAttempts(std::string_view value) {
  if (!value.starts_with(kAttemptsPrefix)) return std::nullopt;
  const auto attempts = ReadNumber(value.substr(kAttemptsPrefix.size()));
  if (!attempts || *attempts > kMaxSent) return std::nullopt;
  return static_cast<int>(*attempts);
}

}  // namespace marjoramsill
