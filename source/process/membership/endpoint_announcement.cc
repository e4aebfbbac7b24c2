#include "process/membership/endpoint_announcement.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramsill {
namespace {

using json = nlohmann::json;
using reason = announcement_error::reason;

/// Reads members of a JSON object and keeps the first error.
class announcement_reader {
 public:
  explicit announcement_reader(const json& document) : document_(document) {}

  std::string Text(const char* member, std::size_t limit) {
    const json* value = Member(member);
    if (value == nullptr) return {};
    if (!value->is_string()) return Fail(reason::kMissing, member), "";
    auto text = value->get<std::string>();
    if (text.empty() || text.size() > limit) Fail(reason::kOutOfRange, member);
    return text;
  }

  std::uint64_t Number(const char* member, std::uint64_t limit) {
    const json* value = Member(member);
    if (value == nullptr) return 0;
    if (!value->is_number_unsigned()) return Fail(reason::kMissing, member), 0;
    const auto number = value->get<std::uint64_t>();
    if (number > limit) Fail(reason::kOutOfRange, member);
    return number;
  }

  std::vector<model_id> ServedModels() {
    std::vector<model_id> served;
    const json* value = Member("serves");
    if (value == nullptr) return served;
    if (!value->is_array() || value->empty() || value->size() > kMaxServed) {
      Fail(reason::kOutOfRange, "serves");
      return served;
    }
    for (const json& name : *value) {
      if (!name.is_string() || name.get_ref<const std::string&>().empty() ||
          name.get_ref<const std::string&>().size() > kMaxIdBytes) {
        Fail(reason::kOutOfRange, "serves");
        return served;
      }
      served.emplace_back(name.get<std::string>());
    }
    return served;
  }

  endpoint_load Load() {
    const json* value = Member("load");
    if (value == nullptr) return {};
    if (!value->is_object()) {
      Fail(reason::kMissing, "load");
      return {};
    }
    announcement_reader inner(*value);
    endpoint_load load;
    load.running =
        static_cast<std::uint32_t>(inner.Number("running", kMaxReportedLoad));
    load.waiting =
        static_cast<std::uint32_t>(inner.Number("waiting", kMaxReportedLoad));
    if (inner.error_.has_value()) Fail(inner.error_->why, "load");
    return load;
  }

  void Fail(reason why, const char* member) {
    if (!error_.has_value()) error_ = announcement_error{why, member};
  }
  const std::optional<announcement_error>& error() const { return error_; }

 private:
  const json* Member(const char* member) {
    const auto found = document_.find(member);
    if (found != document_.end()) return &*found;
    Fail(reason::kMissing, member);
    return nullptr;
  }

  const json& document_;
  std::optional<announcement_error> error_;
};

/// Parses and removes a prefix of the form name + number; `name` includes the
/// equals sign.
std::optional<std::uint32_t> TakeNumber(std::string_view& text,
                                        std::string_view name) {
  if (!text.starts_with(name)) return std::nullopt;
  text.remove_prefix(name.size());
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto [after, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || number > kMaxReportedLoad) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(after - text.data()));
  return number;
}

}  // namespace

result<endpoint_announcement, announcement_error> ParseAnnouncement(
    std::string_view text) {
  if (text.size() > kMaxAnnouncementBytes) {
    return failure(announcement_error{reason::kTooLarge, ""});
  }
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return failure(announcement_error{reason::kNotJson, ""});
  }
  announcement_reader reader(document);
  endpoint_announcement announcement;
  announcement.id = endpoint_id(reader.Text("id", kMaxIdBytes));
  announcement.incarnation =
      incarnation_number(reader.Number("incarnation", UINT64_MAX));
  announcement.address = reader.Text("address", kMaxAddressBytes);
  announcement.domain =
      failure_domain_id(reader.Text("failure_domain", kMaxIdBytes));
  const auto state = ParseEndpointState(reader.Text("state", kMaxIdBytes));
  if (state.has_value()) {
    announcement.state = *state;
  } else {
    reader.Fail(reason::kOutOfRange, "state");
  }
  announcement.serves = reader.ServedModels();
  announcement.capacity =
      static_cast<std::uint32_t>(reader.Number("capacity", kMaxCapacity));
  if (announcement.capacity == 0) reader.Fail(reason::kOutOfRange, "capacity");
  announcement.load = reader.Load();
  if (reader.error().has_value()) return failure(*reader.error());
  return announcement;
}

std::optional<endpoint_load> ParseEndpointLoad(std::string_view value) {
  const auto running = TakeNumber(value, "running=");
  if (!running.has_value()) return std::nullopt;
  const auto waiting = TakeNumber(value, " waiting=");
  if (!waiting.has_value() || !value.empty()) return std::nullopt;
  return endpoint_load{*running, *waiting};
}

std::optional<endpoint_state> ParseEndpointState(std::string_view value) {
  if (value == "active") return endpoint_state::kActive;
  if (value == "leaving") return endpoint_state::kLeaving;
  return std::nullopt;
}

}  // namespace marjoramsill
