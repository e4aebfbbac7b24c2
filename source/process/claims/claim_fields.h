#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_FIELDS_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_FIELDS_H_

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "process/claims/claim_decode_error.h"
#include "process/claims/claim_decode_status.h"
#include "process/claims/claim_key.h"
#include "process/claims/claim_owner.h"
#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"
#include "types/result.h"

namespace marjoramsill {

using claim_packer = msgpack::packer<msgpack::sbuffer>;

/// Reads the elements of one msgpack array in order. After an error every read
/// returns an empty value, and the status keeps the first error. Extra elements
/// at the end are ignored, so that messages of newer versions can be decoded.
class claim_field_reader {
 public:
  claim_field_reader(const msgpack::object& array, claim_decode_status& status);

  std::uint64_t Number(std::uint64_t max);
  std::string Text(std::size_t max_bytes);
  std::string Bytes(std::size_t max_bytes);
  bool Flag();
  content_hash Hash();
  claim_key Key();
  claim_owner Owner();
  /// Null if the element is nil, and after an error.
  const msgpack::object* OptionalArray();
  std::size_t size() const { return size_; }

 private:
  const msgpack::object* Next();

  const msgpack::object* elements_ = nullptr;
  std::size_t size_ = 0;
  std::size_t next_ = 0;
  claim_decode_status& status_;
};

/// Unpacks the msgpack array that starts at `offset` and advances `offset` past
/// it. Size and depth are checked before memory is allocated.
result<msgpack::object_handle, claim_decode_error> UnpackClaimArray(
    std::string_view bytes, std::size_t& offset);

void PackHash(claim_packer& packer, const content_hash& hash);
void PackKey(claim_packer& packer, const claim_key& key);
void PackOwner(claim_packer& packer, const claim_owner& owner);
/// Packs nil if `response` is null.
void PackResponse(claim_packer& packer, const stored_response* response);
/// Encodes a response as the claim table stores it: in one allocation, instead
/// of one for each header and the body.
std::string EncodeResponse(const stored_response& response);
/// Decodes the bytes that EncodeResponse() returned, without validation.
stored_response DecodeTrustedResponse(std::string_view bytes);
std::optional<stored_response> ReadResponse(claim_field_reader& reader,
                                            claim_decode_status& status);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_FIELDS_H_
