#include "request/newer_document.h"

#include <charconv>

namespace marjoramsill {
namespace {

constexpr std::string_view kPrefix = "newer,";
constexpr char kSeparator = ',';

template <class Number>
std::optional<Number> ReadNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

}  // namespace

std::string EncodeNewerDocument(const newer_document& newer) {
  return std::string(kPrefix) + std::to_string(newer.version.value()) +
         kSeparator + std::to_string(newer.port);
}

std::optional<newer_document> DecodeNewerDocument(std::string_view text) {
  if (!text.starts_with(kPrefix)) return std::nullopt;
  text.remove_prefix(kPrefix.size());
  const std::size_t separator = text.find(kSeparator);
  if (separator == std::string_view::npos) return std::nullopt;
  const auto version = ReadNumber<std::uint64_t>(text.substr(0, separator));
  const auto port = ReadNumber<std::uint16_t>(text.substr(separator + 1));
  if (!version || !port || *port == 0) return std::nullopt;
  return newer_document{document_version(*version), *port};
}

}  // namespace marjoramsill
