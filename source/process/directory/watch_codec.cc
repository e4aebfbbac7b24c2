#include "process/directory/watch_codec.h"

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace marjoramsill {
namespace {

using record_fields =
    std::tuple<std::string, std::string, std::string, std::string,
               std::uint32_t, std::uint8_t, std::uint64_t, std::uint64_t,
               std::uint32_t, std::string>;
/// Endpoint, running, waiting, slots, age in milliseconds, limit in thousandths
/// of a request per second, limit of refusals, duration of work in percent (0:
/// not stated, as from builds without this field), sample of durations (0:
/// none).
using load_fields = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t,
                               std::uint32_t, std::uint32_t, std::int64_t,
                               std::uint32_t, std::uint32_t, std::uint32_t>;
/// Stream, software.
using origin_fields = std::tuple<std::uint64_t, std::uint32_t>;
/// Content, clearances, ends.
using fault_fields =
    std::tuple<std::uint64_t, std::uint32_t, std::vector<std::uint32_t>>;
/// Pool, requests in progress.
using progress_fields = std::tuple<std::uint64_t, std::uint32_t>;
/// Pool, software, age in milliseconds.
using presence_fields = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;
using request_fields =
    std::tuple<std::string, bool, std::uint64_t, std::uint64_t, std::uint64_t,
               bool, std::vector<load_fields>, std::uint64_t, std::uint32_t,
               std::vector<origin_fields>, std::uint64_t,
               std::vector<fault_fields>, std::uint16_t, std::uint32_t, bool,
               bool, std::vector<progress_fields>, std::uint8_t,
               std::vector<std::uint64_t>, std::uint64_t>;
using reply_fields = std::tuple<
    std::uint64_t, std::uint64_t, std::vector<record_fields>, std::uint64_t,
    std::vector<std::string>, std::uint32_t, std::vector<load_fields>,
    std::uint64_t, std::int64_t, std::uint32_t, std::vector<fault_fields>,
    std::uint64_t, std::uint32_t, std::uint32_t, std::vector<progress_fields>,
    std::vector<presence_fields>, std::uint64_t, std::vector<std::string>>;
/// Encoded confirmed_after of a response that confirms nothing.
constexpr std::int64_t kUnconfirmed = -1;
/// Encoded change number of a sender without an evacuation set, as from builds
/// without this field; what is added to that of a set.
constexpr std::uint64_t kNoEvacuations = 0;
constexpr std::uint64_t kFirstEvacuations = 1;
/// Encoded limit of an endpoint that names none.
constexpr std::int64_t kUnlimited = -1;
constexpr double kLimitScale = 1'000;
/// Encoded limit of refusals: not known, as from builds without this field;
/// none named; and what is added to a named one.
constexpr std::uint32_t kUnknownRefusals = 0;
constexpr std::uint32_t kAnyRefusals = 1;
constexpr std::uint32_t kFirstRefusalLimit = 2;
/// Position of the fields of an encoded sample, in bits.
constexpr std::uint32_t kTagShift = 16;
constexpr std::uint32_t kLogShift = 8;

/// Limit for nested arrays. The deepest message has four: the response, its
/// list of content faults, one of these, its list of ends.
constexpr std::size_t kMaxDepth = 5;

template <class Fields>
std::string Pack(const Fields& fields) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, fields);
  return std::string(buffer.data(), buffer.size());
}

template <class Fields>
std::optional<Fields> Unpack(std::string_view bytes) {
  try {
    Fields fields;
    // Every element takes at least one byte, so a larger element count is
    // invalid and must not cause an allocation.
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, 0, most, 0, 0, kMaxDepth);
    msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)
        .get()
        .convert(fields);
    return fields;
  } catch (const std::exception&) {
    // msgpack reports malformed bytes only by exceptions.
    return std::nullopt;
  }
}

record_fields ToFields(const endpoint_record& record) {
  return {record.id.value(),
          record.pool.value(),
          record.address,
          record.domain.value(),
          record.slots,
          static_cast<std::uint8_t>(record.phase),
          record.incarnation.value(),
          record.sequence,
          record.cold_ms,
          record.software};
}

std::optional<endpoint_record> ToRecord(record_fields&& fields) {
  endpoint_record record;
  record.id = endpoint_id(std::move(std::get<0>(fields)));
  record.pool = model_id(std::move(std::get<1>(fields)));
  record.address = std::move(std::get<2>(fields));
  record.domain = failure_domain_id(std::move(std::get<3>(fields)));
  record.slots = std::get<4>(fields);
  const std::uint8_t phase = std::get<5>(fields);
  if (phase > static_cast<std::uint8_t>(endpoint_phase::kEnded)) {
    return std::nullopt;
  }
  record.phase = static_cast<endpoint_phase>(phase);
  record.incarnation = incarnation_number(std::get<6>(fields));
  record.sequence = std::get<7>(fields);
  record.cold_ms = std::get<8>(fields);
  record.software = std::move(std::get<9>(fields));
  return record;
}

std::int64_t EncodeLimit(const std::optional<double>& limit) {
  // A higher limit has no effect and would not fit.
  constexpr double kMaxLimit = 1e9;
  if (!limit || *limit > kMaxLimit) return kUnlimited;
  return std::llround(*limit * kLimitScale);
}

std::optional<double> DecodeLimit(std::int64_t encoded) {
  if (encoded < 0) return std::nullopt;
  return static_cast<double>(encoded) / kLimitScale;
}

std::uint32_t EncodeRefusalLimit(const std::optional<std::uint32_t>& limit) {
  if (!limit) return kUnknownRefusals;
  if (*limit >= kUnlimitedRefusals - kFirstRefusalLimit) return kAnyRefusals;
  return *limit + kFirstRefusalLimit;
}

std::optional<std::uint32_t> DecodeRefusalLimit(std::uint32_t encoded) {
  if (encoded == kUnknownRefusals) return std::nullopt;
  if (encoded == kAnyRefusals) return kUnlimitedRefusals;
  return encoded - kFirstRefusalLimit;
}

/// Tag, logarithm and count, from the highest byte on.
std::uint32_t EncodeSample(const std::optional<duration_sample>& sample) {
  if (!sample) return 0;
  const auto log_ratio = static_cast<std::uint8_t>(sample->log_ratio);
  return std::uint32_t{sample->tag} << kTagShift |
         std::uint32_t{log_ratio} << kLogShift | sample->count;
}

std::optional<duration_sample> DecodeSample(std::uint32_t encoded) {
  duration_sample sample;
  sample.tag = static_cast<std::uint16_t>(encoded >> kTagShift);
  sample.log_ratio =
      static_cast<std::int8_t>(static_cast<std::uint8_t>(encoded >> kLogShift));
  sample.count = static_cast<std::uint8_t>(encoded);
  if (sample.count == 0) return std::nullopt;
  return sample;
}

std::vector<load_fields> ToFields(const std::vector<shared_load>& loads) {
  std::vector<load_fields> fields;
  fields.reserve(loads.size());
  for (const shared_load& load : loads) {
    fields.emplace_back(
        load.endpoint.value(), load.report.running, load.report.waiting,
        load.report.slots, static_cast<std::uint32_t>(load.age.count()),
        EncodeLimit(load.limit), EncodeRefusalLimit(load.refusal_limit),
        load.report.duration_percent.value_or(0), EncodeSample(load.sample));
  }
  return fields;
}

std::vector<origin_fields> ToFields(const std::vector<stream_origin>& origins) {
  std::vector<origin_fields> fields;
  fields.reserve(origins.size());
  for (const stream_origin& each : origins) {
    fields.emplace_back(each.stream.value(),
                        static_cast<std::uint32_t>(each.software.value()));
  }
  return fields;
}

std::vector<fault_fields> ToFields(const std::vector<content_fault>& faults) {
  std::vector<fault_fields> fields;
  fields.reserve(faults.size());
  for (const content_fault& each : faults) {
    std::vector<std::uint32_t> ends;
    for (const endpoint_run_digest run : each.ends) {
      ends.push_back(static_cast<std::uint32_t>(run.value()));
    }
    fields.emplace_back(each.content.value(), each.clearances, std::move(ends));
  }
  return fields;
}

std::vector<progress_fields> ToFields(const std::vector<pool_progress>& pools) {
  std::vector<progress_fields> fields;
  fields.reserve(pools.size());
  for (const pool_progress& each : pools) {
    fields.emplace_back(each.pool.value(), each.requests);
  }
  return fields;
}

std::vector<presence_fields> ToFields(
    const std::vector<software_presence>& presences) {
  std::vector<presence_fields> fields;
  fields.reserve(presences.size());
  for (const software_presence& each : presences) {
    fields.emplace_back(each.pool.value(), each.software.value(),
                        static_cast<std::uint32_t>(each.age.count()));
  }
  return fields;
}

std::vector<software_presence> ToPresences(
    const std::vector<presence_fields>& fields) {
  std::vector<software_presence> presences;
  presences.reserve(fields.size());
  for (const auto& [pool, software, age_ms] : fields) {
    presences.push_back({pool_digest(pool), software_digest(software),
                         std::chrono::milliseconds(age_ms)});
  }
  return presences;
}

std::vector<pool_progress> ToProgress(
    const std::vector<progress_fields>& fields) {
  std::vector<pool_progress> pools;
  pools.reserve(fields.size());
  for (const auto& [pool, requests] : fields) {
    pools.push_back({pool_digest(pool), requests});
  }
  return pools;
}

std::vector<content_fault> ToFaults(const std::vector<fault_fields>& fields) {
  std::vector<content_fault> faults;
  faults.reserve(fields.size());
  for (const auto& [content, clearances, ends] : fields) {
    content_fault fault{content_digest(content), clearances, {}};
    for (const std::uint32_t run : ends) fault.ends.emplace_back(run);
    faults.push_back(std::move(fault));
  }
  return faults;
}

std::vector<shared_load> ToLoads(const std::vector<load_fields>& fields) {
  std::vector<shared_load> loads;
  loads.reserve(fields.size());
  for (const auto& [endpoint, running, waiting, slots, age_ms, limit,
                    refusal_limit, duration_percent, sample] : fields) {
    load_report report{running, waiting, slots};
    if (duration_percent > 0) report.duration_percent = duration_percent;
    loads.push_back({endpoint_digest(endpoint), report,
                     std::chrono::milliseconds(age_ms), DecodeLimit(limit),
                     DecodeRefusalLimit(refusal_limit), DecodeSample(sample)});
  }
  return loads;
}

/// Nothing also for a set that is not within its bounds.
std::optional<evacuation_set> ToEvacuations(std::uint64_t encoded_change,
                                            std::vector<std::string>&& names) {
  if (encoded_change == kNoEvacuations) return std::nullopt;
  evacuation_set set;
  set.change = encoded_change - kFirstEvacuations;
  for (std::string& name : names) set.domains.emplace_back(std::move(name));
  if (!IsValidEvacuationSet(set)) return std::nullopt;
  return set;
}

/// A way of transfer that only a later build has counts as the one that needs
/// no other field.
record_transfer ToTransfer(std::uint8_t encoded) {
  const auto last = static_cast<std::uint8_t>(record_transfer::kDifferences);
  return encoded > last ? record_transfer::kAll
                        : static_cast<record_transfer>(encoded);
}

}  // namespace

std::string EncodeWatchRequest(const watch_request& request) {
  return Pack(request_fields{
      request.watcher.value(),
      request.is_entry,
      request.epoch,
      request.applied_change,
      request.document.value(),
      request.requests_loads,
      ToFields(request.loads),
      request.applied_ending,
      request.known_endpoints,
      ToFields(request.origins),
      request.applied_fault,
      ToFields(request.faults),
      request.relay.port,
      request.relay.domain,
      request.relay.has_links,
      request.progress.has_value(),
      ToFields(request.progress.value_or(std::vector<pool_progress>())),
      static_cast<std::uint8_t>(request.transfer),
      request.known_digests,
      request.applied_evacuations
          ? *request.applied_evacuations + kFirstEvacuations
          : kNoEvacuations});
}

std::optional<watch_request> DecodeWatchRequest(std::string_view bytes) {
  auto fields = Unpack<request_fields>(bytes);
  if (!fields) return std::nullopt;
  watch_request request;
  request.watcher = vm_id(std::move(std::get<0>(*fields)));
  request.is_entry = std::get<1>(*fields);
  request.epoch = std::get<2>(*fields);
  request.applied_change = std::get<3>(*fields);
  request.document = document_version(std::get<4>(*fields));
  request.requests_loads = std::get<5>(*fields);
  request.loads = ToLoads(std::get<6>(*fields));
  request.applied_ending = std::get<7>(*fields);
  request.known_endpoints = std::get<8>(*fields);
  for (const auto& [stream, software] : std::get<9>(*fields)) {
    request.origins.push_back(
        {stream_digest(stream), software_digest(software)});
  }
  request.applied_fault = std::get<10>(*fields);
  request.faults = ToFaults(std::get<11>(*fields));
  request.relay = {std::get<12>(*fields), std::get<13>(*fields),
                   std::get<14>(*fields)};
  if (std::get<15>(*fields)) {
    request.progress = ToProgress(std::get<16>(*fields));
  }
  request.transfer = ToTransfer(std::get<17>(*fields));
  request.known_digests = std::move(std::get<18>(*fields));
  if (const std::uint64_t encoded = std::get<19>(*fields);
      encoded != kNoEvacuations) {
    request.applied_evacuations = encoded - kFirstEvacuations;
  }
  return request;
}

std::string EncodeWatchResponse(const watch_response& response) {
  reply_fields fields;
  std::get<0>(fields) = response.epoch;
  std::get<1>(fields) = response.last_change;
  for (const endpoint_record& record : response.records) {
    std::get<2>(fields).push_back(ToFields(record));
  }
  std::get<3>(fields) = response.document.value();
  for (const vm_id& member : response.members) {
    std::get<4>(fields).push_back(member.value());
  }
  std::get<5>(fields) = response.position.entry_count;
  std::get<6>(fields) = ToFields(response.loads);
  std::get<7>(fields) = response.last_ending;
  std::get<8>(fields) = response.confirmed_after
                            ? response.confirmed_after->count()
                            : kUnconfirmed;
  std::get<9>(fields) = static_cast<std::uint32_t>(response.history.count());
  std::get<10>(fields) = ToFields(response.faults);
  std::get<11>(fields) = response.last_fault;
  std::get<12>(fields) = response.position.entry_index;
  std::get<13>(fields) = response.progress.entry_count;
  std::get<14>(fields) = ToFields(response.progress.pools);
  std::get<15>(fields) = ToFields(response.former_software);
  if (response.evacuations) {
    std::get<16>(fields) = response.evacuations->change + kFirstEvacuations;
    for (const failure_domain_id& domain : response.evacuations->domains) {
      std::get<17>(fields).push_back(domain.value());
    }
  }
  return Pack(fields);
}

std::optional<watch_response> DecodeWatchResponse(std::string_view bytes) {
  auto fields = Unpack<reply_fields>(bytes);
  if (!fields) return std::nullopt;
  watch_response response;
  response.epoch = std::get<0>(*fields);
  response.last_change = std::get<1>(*fields);
  for (record_fields& each : std::get<2>(*fields)) {
    // A record that this build cannot use must not keep back the others.
    auto record = ToRecord(std::move(each));
    if (record) response.records.push_back(std::move(*record));
  }
  response.document = document_version(std::get<3>(*fields));
  for (std::string& member : std::get<4>(*fields)) {
    response.members.emplace_back(std::move(member));
  }
  response.position.entry_count = std::get<5>(*fields);
  response.loads = ToLoads(std::get<6>(*fields));
  response.last_ending = std::get<7>(*fields);
  if (const std::int64_t after = std::get<8>(*fields); after >= 0) {
    response.confirmed_after = std::chrono::milliseconds(after);
  }
  response.history = std::chrono::milliseconds(std::get<9>(*fields));
  response.faults = ToFaults(std::get<10>(*fields));
  response.last_fault = std::get<11>(*fields);
  response.position.entry_index = std::get<12>(*fields);
  response.progress = {std::get<13>(*fields),
                       ToProgress(std::get<14>(*fields))};
  response.former_software = ToPresences(std::get<15>(*fields));
  response.evacuations =
      ToEvacuations(std::get<16>(*fields), std::move(std::get<17>(*fields)));
  return response;
}

std::string EncodeEndpointRecords(const std::vector<endpoint_record>& records) {
  std::vector<record_fields> fields;
  fields.reserve(records.size());
  for (const endpoint_record& record : records) {
    fields.push_back(ToFields(record));
  }
  return Pack(fields);
}

std::optional<std::vector<endpoint_record>> DecodeEndpointRecords(
    std::string_view bytes) {
  auto fields = Unpack<std::vector<record_fields>>(bytes);
  if (!fields) return std::nullopt;
  std::vector<endpoint_record> records;
  for (record_fields& each : *fields) {
    auto record = ToRecord(std::move(each));
    if (record) records.push_back(std::move(*record));
  }
  return records;
}

std::string EncodeContentFaults(const std::vector<content_fault>& faults) {
  return Pack(ToFields(faults));
}

std::optional<std::vector<content_fault>> DecodeContentFaults(
    std::string_view bytes) {
  const auto fields = Unpack<std::vector<fault_fields>>(bytes);
  if (!fields) return std::nullopt;
  return ToFaults(*fields);
}

}  // namespace marjoramsill
