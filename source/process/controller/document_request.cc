#include "process/controller/document_request.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace marjoramsill {
namespace {

constexpr char kLineBreak = '\n';

/// Removes the first line, without its line break, from `text`.
std::string TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find(kLineBreak), text.size());
  std::string line(text.substr(0, end));
  text.remove_prefix(std::min(end + 1, text.size()));
  return line;
}

}  // namespace

std::string EncodeDocumentRequest(const document_request& request) {
  std::string bytes =
      std::to_string(request.version.value()) + " " + request.domain.value();
  for (const vm_id& source : request.silent_sources) {
    bytes += kLineBreak;
    bytes += source.value();
  }
  return bytes;
}

std::optional<document_request> DecodeDocumentRequest(std::string_view bytes) {
  std::uint64_t version = 0;
  const char* end = bytes.data() + bytes.size();
  const auto [ptr, error] = std::from_chars(bytes.data(), end, version);
  if (error != std::errc() || ptr == end || *ptr != ' ') return std::nullopt;
  document_request request;
  request.version = document_version(version);
  std::string_view lines(ptr + 1, static_cast<std::size_t>(end - ptr - 1));
  request.domain = failure_domain_id(TakeLine(lines));
  while (!lines.empty()) request.silent_sources.emplace_back(TakeLine(lines));
  return request;
}

}  // namespace marjoramsill
