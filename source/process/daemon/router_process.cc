#include "process/daemon/router_process.h"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "connection/endpoint_client.h"
#include "connection/heap_settings.h"
#include "connection/http_responder.h"
#include "connection/http_server.h"
#include "connection/machine_memory.h"
#include "connection/peer_transport.h"
#include "process/claims/claim_shard.h"
#include "process/daemon/call_services.h"
#include "process/daemon/control_plane.h"
#include "process/daemon/control_service.h"
#include "process/daemon/event_log.h"
#include "process/daemon/fleet_membership.h"
#include "process/daemon/leader_client.h"
#include "process/daemon/limits_service.h"
#include "process/daemon/operator_api.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/policy_distribution.h"
#include "process/daemon/policy_store.h"
#include "process/daemon/pool_shards.h"
#include "process/daemon/process_metrics.h"
#include "process/daemon/request_handler.h"
#include "process/daemon/steady_clock.h"
#include "version/policy_snapshot.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

// Raft timers need a tick at least every 50 ms.
constexpr milliseconds kTickInterval{50};
// Membership and policy distribution are ticked every 100 ms.
constexpr std::uint64_t kTicksPerMembershipTick = 2;
// Longer than an election, shorter than the claim flow's own timeout.
constexpr milliseconds kClaimTimeout{2'500};
// The longest deadline that a policy allows, plus 10 s for sending the
// response.
constexpr std::chrono::seconds kMaxShutdownTime{3'610};

incarnation_number StartTime() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return incarnation_number(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(since_epoch).count()));
}

http_server_settings ServerSettings(const socket_address& listen,
                                    const settings& from) {
  http_server_settings to;
  to.listen = listen;
  to.max_connections = from.max_connections;
  to.handle_timeout = kMaxShutdownTime;
  to.max_received_memory = RequestMemory(from.memory_mb);
  to.on_memory_exhausted = [] {
    LogEvent(log_level::kWarning, "closed_for_memory", {});
  };
  return to;
}

}  // namespace

class router_process::implementation {
 public:
  explicit implementation(settings process_settings)
      : settings_(std::move(process_settings)),
        incarnation_number_(StartTime()),
        work_(asio::make_work_guard(io_)),
        tick_timer_(io_),
        peers_({.vm = settings_.vm.value(),
                .listen = settings_.peers,
                .tls = settings_.tls},
               [this](const vm_message& message, const auto& respond) {
                 OnPeerMessage(message, respond);
               }),
        shards_(settings_.failure_domain),
        membership_(settings_, incarnation_number_, peers_, client_, shards_),
        services_{io_,
                  client_,
                  membership_,
                  metrics_,
                  [this](const claim_command& command, auto done) {
                    SendClaim(command, std::move(done));
                  },
                  settings_.vm,
                  settings_.failure_domain,
                  incarnation_number_},
        distribution_(
            settings_, peers_,
            [this](const auto& snapshot) { InstallPolicy(snapshot); }),
        limits_(settings_, incarnation_number_, peers_),
        request_handler_(services_, policy_, shards_, limits_, distribution_,
                         classifier_limits{settings_.max_body_bytes}),
        caller_server_(io_, ServerSettings(settings_.callers, settings_),
                       [this](http_request request, const auto& responder) {
                         request_handler_.Handle(std::move(request), responder);
                       }),
        control_server_(
            io_, ServerSettings(settings_.control, settings_),
            [this](const http_request& request, const auto& responder) {
              control_service_.Handle(request, responder);
            }) {
    AddControlPaths();
    if (settings_.memory_mb > 0) ReturnReleasedBuffers();
  }

  ~implementation() { StopThreads(); }

  result<void, start_error> Start() {
    if (auto opened = OpenControlPlane(); !opened) return opened;
    leader_client_.emplace(settings_, peers_, control_plane_.get());
    if (auto started = distribution_.Start(); !started) return started;
    operators_.emplace(operator_sources{
        settings_, peers_, membership_, distribution_, shards_, policy_,
        *leader_client_, control_plane_.get(), [this] { return IsReady(); }});
    operators_->AddTo(control_service_);
    if (control_plane_) control_plane_->Start();
    const auto peers = peers_.Listen();
    if (!peers) return ListenFailure("peers", peers.assume_error());
    const auto control = control_server_.Listen();
    if (!control) return ListenFailure("control", control.assume_error());
    const auto callers = caller_server_.Listen();
    if (!callers) return ListenFailure("callers", callers.assume_error());
    if (!settings_.tls) {
      LogEvent(log_level::kWarning, "peers_plaintext",
               {{"listen", FormatSocketAddress(settings_.peers)}});
    }
    for (std::size_t i = 0; i < settings_.io_threads; ++i) {
      threads_.emplace_back([this] { io_.run(); });
    }
    ScheduleTick();
    ready_ = true;
    LogEvent(log_level::kInfo, "started",
             {{"vm", settings_.vm.value()},
              {"failure_domain", settings_.failure_domain.value()},
              {"callers", FormatSocketAddress(settings_.callers)}});
    return success();
  }

  int Run() {
    WaitForSignal();
    LogEvent(log_level::kInfo, "shutdown_begins",
             {{"open_calls", std::to_string(request_handler_.open_calls())}});
    // First the load balancer must notice that this VM is not ready; requests
    // that still arrive on open connections are served.
    ready_ = false;
    if (control_plane_) control_plane_->Shutdown();
    std::this_thread::sleep_for(settings_.drain_delay);
    caller_server_.CloseAfterResponses();
    caller_server_.StopAccepting();
    const auto latest = std::chrono::steady_clock::now() + kMaxShutdownTime;
    while (IsBusy() && std::chrono::steady_clock::now() < latest) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    const bool finished = !IsBusy();
    LogEvent(log_level::kInfo, "shutdown_ends",
             {{"open_calls", std::to_string(request_handler_.open_calls())}});
    StopThreads();
    return finished ? 0 : 1;
  }

 private:
  static result<void, start_error> ListenFailure(const std::string& name,
                                                 const listen_error& error) {
    return failure(start_error{name + ": " + FormatSocketAddress(error.address),
                               error.reason});
  }

  bool IsReady() const { return ready_ && policy_.Current() != nullptr; }

  bool IsBusy() const {
    return caller_server_.open_requests() > 0 ||
           request_handler_.open_calls() > 0;
  }

  void WaitForSignal() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int number = 0;
    sigwait(&signals, &number);
  }

  void StopThreads() {
    peers_.Stop();
    work_.reset();
    io_.stop();
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](std::error_code error) {
      if (error) return;
      if (control_plane_) control_plane_->Tick();
      limits_.Tick();
      if (++ticks_ % kTicksPerMembershipTick == 0) TickMembership();
      ScheduleTick();
    });
  }

  void TickMembership() {
    membership_.Tick();
    const auto [holder, version] = membership_.NewestPeerVersion();
    distribution_.Tick(holder, version);
    metrics_.SetControlBytes(membership_.sent_bytes());
    metrics_.SetPeerBytes(peers_.sent_bytes());
    metrics_.SetOpenRequests(caller_server_.open_requests());
  }

  void OnPeerMessage(const vm_message& message,
                     const peer_transport::respond_hook& respond) {
    if (message.kind == kHeartbeatKind) {
      respond(membership_.OnHeartbeat(message.body));
    } else if (message.kind == kRaftKind) {
      if (control_plane_) control_plane_->OnRaftMessage(message.body);
      respond({});
    } else if (message.kind == kClaimKind || message.kind == kSubmitKind) {
      OnLeaderMessage(message, respond);
    } else if (message.kind == kPolicyChangesKind) {
      distribution_.OnPush(message.body);
      respond({});
    } else if (message.kind == kPolicyFetchKind) {
      respond(distribution_.OnFetch(vm_id(message.from), message.body));
    } else if (message.kind == kLimitsKind) {
      limits_.OnMessage(vm_id(message.from), message.body);
      respond({});
    } else if (message.kind == kCountersKind) {
      respond(operators_->EncodeLocalCounters());
    } else {
      LogEvent(log_level::kWarning, "peer_message_unknown",
               {{"kind", message.kind}});
      respond({});
    }
  }

  void OnLeaderMessage(const vm_message& message,
                       const peer_transport::respond_hook& respond) {
    const auto request = DecodeLeaderRequest(message.body);
    if (!request || !control_plane_) {
      respond(EncodeLeaderResponse({leader_response_kind::kNotLeader, {}, {}}));
      return;
    }
    control_plane_->OnLeaderRequest(message.kind, *request,
                                    [respond](const leader_response& response) {
                                      respond(EncodeLeaderResponse(response));
                                    });
  }

  void AddControlPaths() {
    control_service_.Add("GET", "/healthz",
                         [](const auto&, const auto& responder) {
                           responder->Respond(200, {}, "ok\n");
                         });
    control_service_.Add(
        "GET", "/readyz", [this](const auto&, const auto& responder) {
          const bool serving = IsReady();
          responder->Respond(serving ? 200 : 503, {},
                             serving ? "ready\n" : "not ready\n");
        });
    control_service_.Add(
        "GET", "/metrics", [this](const auto&, const auto& responder) {
          responder->Respond(200,
                             {{"Content-Type", "text/plain; version=0.0.4"}},
                             metrics_.Text());
        });
    control_service_.Add(
        "POST", "/v1/endpoints/announce",
        [this](const http_request& request, const auto& responder) {
          Announce(request, responder);
        });
  }

  void Announce(const http_request& request,
                const std::shared_ptr<http_responder>& responder) {
    nlohmann::ordered_json body;
    const auto response = membership_.Announce(request.body);
    if (!response) {
      body["error"] = response.assume_error().detail;
      responder->Respond(response.assume_error().status,
                         {{"Content-Type", "application/json"}}, body.dump());
      return;
    }
    body["lease_ms"] = response.assume_value().lease.count();
    body["interval_ms"] = response.assume_value().interval.count();
    responder->Respond(200, {{"Content-Type", "application/json"}},
                       body.dump());
  }

  void InstallPolicy(const std::shared_ptr<const policy_snapshot>& snapshot) {
    shards_.Apply(*snapshot);
    policy_.Replace(snapshot);
    membership_.SetVersion(snapshot->version());
    metrics_.SetPolicyVersion(snapshot->version().value());
  }

  result<void, start_error> OpenControlPlane() {
    if (settings_.data_folder.empty()) return success();
    auto opened = control_plane::Open(
        settings_, peers_,
        {.on_committed =
             [this](const section_ptr& record, bool is_leader) {
               distribution_.OnCommitted(record, is_leader);
             },
         .on_restored =
             [this](const policy_document& document) {
               distribution_.OnRestored(document);
             }});
    if (!opened) return failure(std::move(opened).assume_error());
    control_plane_ = std::move(opened).assume_value();
    return success();
  }

  void SendClaim(const claim_command& command,
                 std::function<void(std::optional<claim_response>)> done) {
    const std::size_t shard =
        ClaimShardFor(command.key, settings_.claim_groups);
    leader_client_->Send(
        kClaimKind,
        {static_cast<std::uint32_t>(shard + 1), EncodeClaimCommand(command)},
        kClaimTimeout,
        [done = std::move(done)](const std::optional<std::string>& bytes) {
          std::optional<claim_response> response;
          if (bytes) {
            auto decoded = DecodeClaimResponse(*bytes);
            if (decoded) response = std::move(decoded).assume_value();
          }
          done(std::move(response));
        });
  }

  const settings settings_;
  const incarnation_number incarnation_number_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  asio::steady_timer tick_timer_;
  process_metrics metrics_;
  policy_store policy_;
  endpoint_client client_;
  peer_transport peers_;
  pool_shards shards_;
  fleet_membership membership_;
  call_services services_;
  policy_distribution distribution_;
  std::unique_ptr<control_plane> control_plane_;
  std::optional<leader_client> leader_client_;
  std::optional<operator_api> operators_;
  limits_service limits_;
  request_handler request_handler_;
  control_service control_service_;
  http_server caller_server_;
  http_server control_server_;
  std::atomic<bool> ready_{false};
  std::uint64_t ticks_ = 0;
  std::vector<std::thread> threads_;
};

router_process::router_process(settings process_settings)
    : implementation_(
          std::make_unique<implementation>(std::move(process_settings))) {}

router_process::~router_process() = default;

result<void, start_error> router_process::Start() {
  return implementation_->Start();
}

int router_process::Run() { return implementation_->Run(); }

}  // namespace marjoramsill
