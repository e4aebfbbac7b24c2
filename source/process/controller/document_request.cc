#include "process/controller/document_request.h"

#include <charconv>
#include <cstdint>

namespace marjoramsill {

std::string EncodeDocumentRequest(const document_request& request) {
  return std::to_string(request.version.value()) + " " + request.domain.value();
}

std::optional<document_request> DecodeDocumentRequest(std::string_view bytes) {
  std::uint64_t version = 0;
  const char* end = bytes.data() + bytes.size();
  const auto [ptr, error] = std::from_chars(bytes.data(), end, version);
  if (error != std::errc() || ptr == end || *ptr != ' ') return std::nullopt;
  document_request request;
  request.version = document_version(version);
  request.domain = failure_domain_id(std::string(ptr + 1, end));
  return request;
}

}  // namespace marjoramsill
