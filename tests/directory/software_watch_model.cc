#include "software_watch_model.h"

#include <algorithm>
#include <random>

#include "process/controller/watch_hub.h"
#include "process/directory/endpoint_directory.h"
#include "process/directory/watch_codec.h"
#include "process/entry/pool_table.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{100};
constexpr milliseconds kHeartbeatInterval{1'200};
const model_id kPool("chat");

std::unique_ptr<pool_table> NewPools() {
  return std::make_unique<pool_table>(
      placement_settings{}, retry_settings{}, std::mt19937_64(1),
      [](const endpoint_record& /*changed*/) {});
}

}  // namespace

software_watch_model::software_watch_model() {
  RestartControl();
  RestartEntry();
}

software_watch_model::~software_watch_model() = default;

void software_watch_model::Start(const std::string& id,
                                 const std::string& software) {
  endpoint_record record;
  record.id = endpoint_id(id);
  record.pool = kPool;
  record.address = "10.0.0.1:" + id;
  record.software = software;
  record.incarnation = incarnation_number(++starts_);
  running_[id] = record;
  Heartbeat(running_[id]);
  RecordRunning();
}

void software_watch_model::SignOff(const std::string& id) {
  RecordRunning();
  running_.erase(id);
  directory_->End(endpoint_id(id), incarnation_number(++starts_), now_);
  hub_->Notify(now_);
}

void software_watch_model::Crash(const std::string& id) {
  RecordRunning();
  running_.erase(id);
}

void software_watch_model::SetConnected(bool is_connected) {
  const bool begins = is_connected && !is_connected_;
  is_connected_ = is_connected;
  if (!begins) return;
  Disconnect();
  Watch();
}

void software_watch_model::RestartEntry() {
  pools_ = NewPools();
  Disconnect();
  known_epoch_ = 0;
  confirmed_epoch_ = 0;
  applied_change_ = 0;
  applied_ending_ = 0;
}

void software_watch_model::RestartControl() {
  ++epoch_;
  Disconnect();
  directory_ = std::make_unique<endpoint_directory>();
  watch_hub::sources sources;
  sources.directory = directory_.get();
  sources.document = [] { return document_version(1); };
  sources.members = [] { return std::vector<vm_id>(); };
  hub_ = std::make_unique<watch_hub>(std::move(sources), epoch_);
}

void software_watch_model::Disconnect() {
  ++connection_;
  has_request_ = false;
  answer_.reset();
}

void software_watch_model::Heartbeat(endpoint_record& record) {
  ++record.sequence;
  next_heartbeat_[record.id.value()] = now_ + kHeartbeatInterval;
  directory_->ReceiveHeartbeat(record, now_);
  hub_->Notify(now_);
}

void software_watch_model::RunFor(milliseconds duration) {
  const steady_time end = now_ + duration;
  while (now_ < end) {
    now_ += kTick;
    RecordRunning();
    for (auto& [id, record] : running_) {
      if (next_heartbeat_[id] <= now_) Heartbeat(record);
    }
    directory_->Expire(now_);
    pools_->Tick(now_);
    hub_->Tick(now_);
    if (is_connected_) Watch();
  }
}

void software_watch_model::RecordRunning() {
  for (const auto& [id, record] : running_) {
    last_run_[DigestOfSoftware(record)] = now_;
  }
}

void software_watch_model::Watch() {
  while (answer_ || !has_request_) {
    if (answer_) OnResponse(*answer_);
    answer_.reset();
    has_request_ = true;
    request_sent_ = now_;
    hub_->OnWatch(
        Request(),
        [this, connection = connection_](const std::string& bytes) {
          const auto response = DecodeWatchResponse(bytes);
          if (response && connection == connection_) answer_ = *response;
        },
        now_);
  }
}

watch_request software_watch_model::Request() const {
  const std::size_t known = pools_->CountPresent();
  watch_request request;
  request.watcher = vm_id("127.0.0.1:1");
  request.is_entry = true;
  request.epoch = known_epoch_;
  request.applied_change = applied_change_;
  request.applied_ending = applied_ending_;
  request.known_endpoints = static_cast<std::uint32_t>(known);
  request.document = document_version(1);
  request.transfer = record_transfer::kPresent;
  if (applied_change_ > 0) {
    request.transfer = record_transfer::kChanges;
  } else if (known > 0) {
    request.transfer = record_transfer::kDifferences;
    request.known_digests = pools_->Digests();
  }
  return request;
}

void software_watch_model::OnResponse(const watch_response& response) {
  known_epoch_ = response.epoch;
  applied_change_ = response.last_change;
  applied_ending_ = std::max(response.last_change, response.last_ending);
  pools_->MergeFormerSoftware(response.former_software, now_);
  pools_->Merge(response.records, now_);
  if (response.history.count() == 0) return;
  confirmed_epoch_ = response.epoch;
  pools_->AddHistory(now_ - response.history, request_sent_);
}

std::optional<software_digest> software_watch_model::OnlySoftware() const {
  // record_barrier holds back what needs current records.
  const bool is_current = is_connected_ && confirmed_epoch_ == epoch_ &&
                          applied_change_ == directory_->last_change();
  if (!is_current) return std::nullopt;
  return pools_->OnlySoftware(kPool, kPeriod, now_);
}

bool software_watch_model::IsOnlySoftwareTrue() const {
  const auto only = OnlySoftware();
  if (!only) return true;
  return std::all_of(
      last_run_.begin(), last_run_.end(), [this, &only](const auto& item) {
        return item.first == *only || now_ - item.second > kPeriod;
      });
}

}  // namespace marjoramsill
