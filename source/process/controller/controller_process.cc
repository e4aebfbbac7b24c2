#include "process/controller/controller_process.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "connection/heap_settings.h"
#include "connection/http_responder.h"
#include "connection/http_server.h"
#include "connection/http_server_settings.h"
#include "connection/peer_transport.h"
#include "process/controller/control_server_settings.h"
#include "process/controller/controller_metrics.h"
#include "process/controller/controller_status.h"
#include "process/controller/document_service.h"
#include "process/controller/document_store.h"
#include "process/controller/ending_store.h"
#include "process/controller/endpoint_service.h"
#include "process/controller/evacuation_log.h"
#include "process/controller/evacuation_service.h"
#include "process/controller/link_traffic.h"
#include "process/controller/named_pools.h"
#include "process/controller/node_start.h"
#include "process/controller/order_status.h"
#include "process/controller/process_signals.h"
#include "process/controller/settings_watch.h"
#include "process/controller/storage_failure.h"
#include "process/controller/text_compression.h"
#include "process/controller/watch_hub.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/steady_clock.h"
#include "process/directory/content_trial_leases.h"
#include "process/directory/content_trial_request.h"
#include "process/directory/control_watcher.h"
#include "process/directory/directory_position.h"
#include "process/directory/document_holder.h"
#include "process/directory/endpoint_directory.h"
#include "process/directory/watch_codec.h"
#include "process/entry/decision_log.h"
#include "process/replication/data_folder.h"
#include "request/http_status.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// The replicated group needs a tick at least every 50 ms.
constexpr milliseconds kTick{50};
/// Time between a stop signal and the end of the process: for the transfer of
/// leadership and for outstanding responses.
constexpr milliseconds kStopTime{700};
/// An endpoint is silent after this many heartbeat intervals without a
/// heartbeat. With three, one late or lost heartbeat has no effect.
constexpr int kSilentIntervals = 3;

/// For operators. The command `status` reads it.
constexpr std::string_view kStatusPath = "/v1/status";

directory_settings DirectorySettings(const node_settings& settings) {
  directory_settings directory;
  directory.silent_after = kSilentIntervals * settings.heartbeat_interval;
  return directory;
}

void RespondJson(const std::shared_ptr<http_responder>& responder, int status,
                 std::string body) {
  responder->Respond(status, {{"Content-Type", "application/json"}},
                     std::move(body));
}

}  // namespace

class controller_process::implementation {
 public:
  implementation(node_settings settings, std::string settings_file,
                 control_dialect dialect)
      : settings_(std::move(settings)),
        dialect_(std::move(dialect)),
        timer_(io_),
        signals_(
            io_, [this] { Stop(); }, [this] { settings_watch_.Reload(); }),
        peers_(PeerSettings(settings_),
               [this](const vm_message& message, auto respond) {
                 OnPeerMessage(message, std::move(respond));
               }),
        directory_(DirectorySettings(settings_)),
        hub_({.directory = &directory_,
              // A commit is acknowledged before this thread hears of it, so
              // the version comes from the group.
              .document = [this] { return store_->Held().version; },
              .members = [this] { return Members(); },
              .is_newest = [this] { return store_->IsLeading(); },
              .link_mbps = settings_.link_mbps,
              .pack = PackText,
              .evacuations = [this] { return store_->Evacuations(); }},
             SystemRandom()() | 1U),
        pools_(
            dialect_, [this] { return store_->Held(); },
            [](const std::string& packed) {
              return UnpackText(packed, kMaxDocumentBytes);
            }),
        watcher_(io_, peers_, settings_.vm, false, WatcherHooks()),
        settings_watch_(
            std::move(settings_file),
            [this](const node_settings& changed) { OnSettings(changed); }) {
    SetLogWriter([this](std::string_view event, std::string_view fields) {
      log_.Write(event, fields);
    });
  }

  ~implementation() {
    peers_.Stop();
    SetLogWriter(nullptr);
  }

  result<void, start_error> Start() {
    if (settings_.memory_mb > 0) ReturnReleasedBuffers();
    if (auto opened = OpenStores(); !opened) return opened;
    documents_.emplace(
        dialect_, *store_, watcher_, settings_.link_mbps,
        [this](std::size_t bytes) { hub_.YieldLink(bytes, SteadyNow()); });
    evacuations_.emplace(*store_, watcher_);
    const std::string address = FormatSocketAddress(*settings_.control);
    endpoints_.emplace(
        dialect_, hub_, directory_, watcher_, *endings_, address,
        [this](const model_id& pool) { return pools_.Contains(pool); });
    server_.emplace(io_, ControlServerSettings(settings_),
                    [this](const http_request& request,
                           const std::shared_ptr<http_responder>& responder) {
                      OnRequest(request, responder);
                    });
    if (settings_.metrics) StartMetrics();
    if (auto listening = peers_.Listen(); !listening) {
      return failure(StartError(listening.assume_error()));
    }
    if (auto listening = server_->Listen(); !listening) {
      return failure(StartError(listening.assume_error()));
    }
    if (metrics_server_) {
      if (auto listening = metrics_server_->Listen(); !listening) {
        return failure(StartError(listening.assume_error()));
      }
    }
    held_version_ = store_->Held().version;
    held_evacuations_ = store_->Evacuations();
    watcher_.SetSeeds(SeedVms(settings_));
    store_->Start();
    LogEvent(log_level::kInfo, "started",
             {{"role", "control"},
              {"vm", settings_.vm.value()},
              {"document", std::to_string(held_version_.value())},
              {"founds_group", settings_.founds_group ? "yes" : "no"}});
    return success();
  }

  void Run() {
    signals_.Start();
    ScheduleTick();
    io_.run();
    LogEvent(log_level::kInfo, "stopped", {{"role", "control"}});
  }

 private:
  result<void, start_error> OpenStores() {
    auto folder = data_folder::Open(settings_.data_folder, SystemRandom());
    if (!folder) return failure(StartError(folder.assume_error()));
    folder_ = std::move(folder).assume_value();
    auto documents = document_store::Open(settings_, *folder_, peers_, [this] {
      asio::post(io_, [this] { OnCommit(); });
    });
    if (!documents) return failure(std::move(documents).assume_error());
    store_ = std::move(documents).assume_value();
    auto endings = ending_store::Open(
        *folder_, {.post = [this](auto task) { asio::post(io_, task); },
                   .current = [this] { return directory_.EndingsAfter(0); }});
    if (!endings) return failure(std::move(endings).assume_error());
    endings_ = std::move(endings).assume_value();
    const steady_time now = SteadyNow();
    for (const endpoint_record& record : endings_->stored()) {
      directory_.Merge(record, now);
    }
    return success();
  }

  void StartMetrics() {
    http_server_settings http;
    http.listen = *settings_.metrics;
    metrics_server_.emplace(
        io_, http,
        [this](const http_request& request,
               const std::shared_ptr<http_responder>& responder) {
          const bool known = request.path == "/metrics";
          if (known) UpdateMetrics();
          responder->Respond(known ? kStatusOk : kStatusNotFound,
                             {{"Content-Type", "text/plain"}},
                             known ? metrics_.Text() : std::string());
        });
  }

  void UpdateMetrics() {
    const group_status status = store_->Status();
    const auto voters =
        std::count_if(status.members.begin(), status.members.end(),
                      [](const group_member& each) { return each.voter; });
    metrics_.SetGroup(store_->IsLeading(), status.term.value(),
                      status.members.size(), static_cast<std::size_t>(voters));
    metrics_.SetDocumentVersion(held_version_.value());
    metrics_.SetEvacuated(held_evacuations_.domains.size());
    metrics_.SetEntries(hub_.EntryCount(SteadyNow()));
    metrics_.SetEndpoints(directory_.size());
    metrics_.SetHeldBack(hub_.held_back());
    metrics_.SetDroppedLines(log_.dropped());
  }

  control_watcher::hooks WatcherHooks() {
    control_watcher::hooks hooks;
    hooks.on_records = [this](const std::vector<endpoint_record>& records) {
      endpoints_->OnRecords(records, SteadyNow());
    };
    hooks.on_former_software =
        [this](const std::vector<software_presence>& presences) {
          directory_.MergeFormerSoftware(presences, SteadyNow());
        };
    // Documents are received through the replicated group.
    hooks.on_newer_document = [](document_version /*version*/) {};
    hooks.on_loads = [this](const std::vector<shared_load>& loads) {
      hub_.MergeLoads(loads, SteadyNow());
    };
    hooks.on_progress = [this](const vm_id& member, const fleet_progress& sum) {
      hub_.RecordProgress(member, sum, SteadyNow());
    };
    hooks.on_faults = [this](const std::vector<content_fault>& faults) {
      hub_.RecordFaults(faults, SteadyNow());
    };
    hooks.take_faults = [this](std::uint64_t& number) {
      return hub_.faults().TakeAfter(number);
    };
    // Load reports come with endpoint responses, which only entry VMs receive.
    hooks.take_loads = [] { return std::vector<shared_load>(); };
    hooks.on_contact = [](const vm_id& vm, bool reachable) {
      LogEvent(log_level::kInfo, "control_contact",
               {{"vm", vm.value()}, {"state", reachable ? "up" : "lost"}});
    };
    // Claims the highest version, so that watch requests never return because
    // of a newer document.
    hooks.document = [] { return document_version(~std::uint64_t{0}); };
    hooks.clock = SteadyNow;
    return hooks;
  }

  std::vector<vm_id> Members() const {
    std::vector<vm_id> members;
    if (!store_) return members;
    for (const group_member& member : store_->Status().members) {
      members.push_back(member.id.vm);
    }
    return members;
  }

  controller_status Status() const {
    controller_status status;
    status.vm = settings_.vm;
    status.domain = settings_.failure_domain;
    status.document = held_version_;
    status.evacuations = held_evacuations_;
    status.group = store_->Status();
    const steady_time now = SteadyNow();
    for (const reachable_member& member : watcher_.Reachable(now)) {
      status.reachable.push_back(member.vm);
    }
    status.entry_count = hub_.EntryCount(now);
    status.endpoints = directory_.ChangesAfter(0);
    return status;
  }

  void ScheduleTick() {
    timer_.expires_after(kTick);
    timer_.async_wait([this](std::error_code error) {
      if (error) return;
      Tick();
      ScheduleTick();
    });
  }

  void Tick() {
    const steady_time now = SteadyNow();
    if (stop_at_ && now >= *stop_at_) {
      io_.stop();
      return;
    }
    store_->Tick();
    watcher_.Tick(now);
    endpoints_->Tick(now);
    endings_->Tick(now);
    hub_.Tick(now);
    trial_leases_.Expire(now);
    documents_->Tick();
    settings_watch_.Tick(now);
    traffic_.Tick(peers_.sent_bytes(), hub_.sent(), hub_.held_back(), now);
  }

  void Stop() {
    LogEvent(log_level::kInfo, "stopping", {{"role", "control"}});
    store_->TransferLeadership();
    server_->StopAccepting();
    server_->CloseAfterResponses();
    stop_at_ = SteadyNow() + kStopTime;
  }

  void OnSettings(const node_settings& changed) {
    watcher_.SetSeeds(SeedVms(changed));
    store_->SetPeers(SeedVms(changed));
  }

  void OnCommit() {
    const document_version version = store_->Held().version;
    const bool has_document = version > held_version_;
    if (has_document) {
      held_version_ = version;
      LogEvent(log_level::kInfo, "document_committed",
               {{"version", std::to_string(version.value())}});
    }
    const evacuation_set evacuations = store_->Evacuations();
    const bool has_set = evacuations.change > held_evacuations_.change;
    if (has_set) {
      held_evacuations_ = evacuations;
      LogEvacuations(evacuations);
    }
    if (has_document || has_set) hub_.Notify(SteadyNow());
  }

  /// Runs on the thread of the transport.
  void OnPeerMessage(const vm_message& message,
                     peer_transport::respond_hook respond) {
    if (message.kind == kRaftKind) {
      if (store_) store_->OnRaftMessage(message.body);
      respond("");
      return;
    }
    asio::post(io_, [this, message, respond = std::move(respond)] {
      OnProcessMessage(message, respond);
    });
  }

  void OnProcessMessage(const vm_message& message,
                        const peer_transport::respond_hook& respond) {
    if (message.kind == kWatchKind) {
      const auto request = DecodeWatchRequest(message.body);
      if (request) return hub_.OnWatch(*request, respond, SteadyNow());
      respond("");
    } else if (message.kind == kDirectoryPositionKind) {
      respond(EncodeDirectoryPosition(
          hub_.PositionFor(vm_id(message.from), SteadyNow())));
    } else if (message.kind == kStreamsBegunKind) {
      hub_.RecordOrigins(DecodeStreamOrigins(message.body), SteadyNow());
      respond("");
    } else if (message.kind == kContentFaultsKind) {
      const auto faults = DecodeContentFaults(message.body);
      if (faults) hub_.RecordFaults(*faults, SteadyNow());
      respond("");
    } else if (message.kind == kContentTrialKind) {
      respond(OnContentTrial(vm_id(message.from), message.body));
    } else if (message.kind == kStreamOriginKind) {
      const auto stream = DecodeStreamDigest(message.body);
      const auto software = stream ? hub_.FindOrigin(*stream) : std::nullopt;
      respond(software ? EncodeSoftwareDigest(*software) : std::string());
    } else if (message.kind == kHeartbeatStatesKind) {
      respond(endpoints_->HeartbeatStates(message.body, SteadyNow()));
    } else if (message.kind == kRelayListKind) {
      respond(
          EncodeRelayOffers(hub_.RelaysFor(vm_id(message.from), SteadyNow())));
    } else if (message.kind == kDocumentKind) {
      documents_->OnDocumentMessage(vm_id(message.from), message.body, respond);
    } else if (message.kind == kReadDocumentKind) {
      documents_->OnReadMessage(message.body, respond);
    } else if (message.kind == kEvacuationOrderKind) {
      evacuations_->OnOrderMessage(message.body, respond);
    } else if (message.kind == kSubmitDocumentKind) {
      documents_->OnSubmitMessage(message.body, respond);
    } else {
      respond("");
    }
  }

  std::string OnContentTrial(const vm_id& vm, std::string_view body) {
    const auto request = DecodeContentTrials(body);
    if (!request) return {};
    const steady_time now = SteadyNow();
    if (request->action == content_trial_action::kRelease) {
      trial_leases_.Release(vm, *request, now);
      return {};
    }
    const bool is_granted = trial_leases_.Acquire(vm, *request, now);
    return is_granted ? std::string(kTrialGranted) : std::string();
  }

  void OnRequest(const http_request& request,
                 const std::shared_ptr<http_responder>& responder) {
    const std::string_view prefix = dialect_.endpoint_prefix;
    const auto respond = [responder](int status, std::string body) {
      RespondJson(responder, status, std::move(body));
    };
    if (request.path == kStatusPath) {
      RespondJson(responder, kStatusOk, StatusJson(Status()));
    } else if (request.path == dialect_.document_path) {
      OnDocumentRequest(request, responder);
    } else if (request.path.starts_with(dialect_.evacuation_prefix)) {
      OnEvacuationRequest(request, responder);
    } else if (request.path.starts_with(prefix)) {
      const endpoint_id id(request.path.substr(prefix.size()));
      if (request.method == "PUT") {
        metrics_.CountHeartbeat();
        endpoints_->OnHeartbeat(id, request.body, respond, SteadyNow());
      } else if (request.method == "DELETE") {
        const steady_time start = SteadyNow();
        endpoints_->OnEnd(
            id,
            [this, respond, start](int status, std::string body) {
              const std::chrono::duration<double> elapsed = SteadyNow() - start;
              metrics_.ObserveEnd(elapsed.count());
              respond(status, std::move(body));
            },
            start);
      } else {
        respond(kStatusNotFound, "");
      }
    } else {
      respond(kStatusNotFound, "");
    }
  }

  void OnDocumentRequest(const http_request& request,
                         const std::shared_ptr<http_responder>& responder) {
    const auto respond = [responder](document_response result) {
      RespondJson(responder, StatusOf(result.status), std::move(result.text));
    };
    if (request.method == "PUT") {
      documents_->Submit(
          request.body, [this, respond](document_response result) {
            // The outcome arrives on a thread of the replicated group.
            const bool accepted =
                result.status == document_response::kind::kAccepted;
            asio::post(
                io_, [this, accepted] { metrics_.CountSubmission(accepted); });
            respond(std::move(result));
          });
    } else if (request.method == "GET") {
      metrics_.CountRead();
      documents_->Read(respond);
    } else {
      RespondJson(responder, kStatusNotFound, "");
    }
  }

  void OnEvacuationRequest(const http_request& request,
                           const std::shared_ptr<http_responder>& responder) {
    const failure_domain_id domain(
        request.path.substr(dialect_.evacuation_prefix.size()));
    evacuations_->OnRequest(
        request.method, domain, [this, responder](evacuation_outcome outcome) {
          // The outcome may arrive on a thread of the replicated group.
          asio::post(io_, [this, outcome] { metrics_.CountOrder(outcome); });
          RespondJson(responder, StatusOf(outcome), "");
        });
  }

  const node_settings settings_;
  const control_dialect dialect_;
  asio::io_context io_{1};
  asio::steady_timer timer_;
  process_signals signals_;
  decision_log log_;
  controller_metrics metrics_;
  peer_transport peers_;
  endpoint_directory directory_;
  watch_hub hub_;
  content_trial_leases trial_leases_{SteadyNow()};
  named_pools pools_;
  control_watcher watcher_;
  settings_watch settings_watch_;
  std::unique_ptr<data_folder> folder_;
  std::unique_ptr<document_store> store_;
  std::unique_ptr<ending_store> endings_;
  std::optional<document_service> documents_;
  std::optional<evacuation_service> evacuations_;
  std::optional<endpoint_service> endpoints_;
  std::optional<http_server> server_;
  std::optional<http_server> metrics_server_;
  document_version held_version_;
  evacuation_set held_evacuations_;
  std::optional<steady_time> stop_at_;
  link_traffic traffic_{settings_.link_mbps};
};

controller_process::controller_process(node_settings settings,
                                       std::string settings_file,
                                       control_dialect dialect)
    : implementation_(std::make_unique<implementation>(
          std::move(settings), std::move(settings_file), std::move(dialect))) {}

controller_process::~controller_process() = default;

result<void, start_error> controller_process::Start() {
  return implementation_->Start();
}

void controller_process::Run() { implementation_->Run(); }

}  // namespace marjoramsill
