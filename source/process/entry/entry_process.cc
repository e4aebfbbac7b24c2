#include "process/entry/entry_process.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "connection/caller_connection.h"
#include "connection/caller_listener.h"
#include "connection/endpoint_connection_pool.h"
#include "connection/heap_settings.h"
#include "connection/http_responder.h"
#include "connection/http_server.h"
#include "connection/http_server_settings.h"
#include "connection/machine_memory.h"
#include "connection/memory_budget.h"
#include "connection/peer_transport.h"
#include "process/controller/document_offer.h"
#include "process/controller/document_relay.h"
#include "process/controller/evacuation_log.h"
#include "process/controller/node_start.h"
#include "process/controller/process_signals.h"
#include "process/controller/settings_watch.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/steady_clock.h"
#include "process/directory/control_watcher.h"
#include "process/entry/call_environment.h"
#include "process/entry/call_set.h"
#include "process/entry/content_fault_monitor.h"
#include "process/entry/decision_log.h"
#include "process/entry/document_fetcher.h"
#include "process/entry/document_in_force.h"
#include "process/entry/entry_events.h"
#include "process/entry/entry_limits.h"
#include "process/entry/entry_metrics.h"
#include "process/entry/evacuations_in_force.h"
#include "process/entry/log_fields.h"
#include "process/entry/pool_table.h"
#include "process/entry/reach_prober.h"
#include "process/entry/relay_finder.h"
#include "process/entry/relay_table.h"
#include "process/entry/stop_sequence.h"
#include "process/entry/stream_origin_finder.h"
#include "process/entry/unconfirmed_origin.h"
#include "process/placement/endpoint_pool.h"
#include "request/http_status.h"
#include "request/relay_terms.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Resolution of deadlines and of the detection of stalled requests.
constexpr milliseconds kTick{25};
/// Expired connections and endpoints are removed less often than every tick.
constexpr int kTicksPerSweep = 8;
/// Connections of other entry VMs that hand requests on.
constexpr std::size_t kMaxRelayConnections = 500;
/// Requests for readiness and metrics have no body.
constexpr std::size_t kMaxStatusBodyBytes = 4'096;
/// Bytes that a VM adds to the head of a request that it hands on.
constexpr std::size_t kRelayHeaderBytes = 256;
/// With later ticks the process takes no requests of other VMs.
constexpr milliseconds kMaxTickDelay{100};
/// Late ticks in a row after which it takes none. A single one comes from a
/// pause, which is over.
constexpr int kLateTicks = 2;
/// Endpoints of a domain whose evacuation is withdrawn may have turned cold
/// just before. Their next heartbeat, which says so, arrives within this number
/// of heartbeat intervals.
constexpr int kColdIntervals = 2;

}  // namespace

class entry_process::implementation {
 public:
  implementation(node_settings settings, std::string settings_file,
                 request_dialect requests, control_dialect control)
      : settings_(std::move(settings)),
        stop_(settings_.grace),
        memory_(RequestMemory(settings_.memory_mb), SystemRandom()),
        timer_(io_),
        signals_(
            io_, [this] { BeginStop(); }, [this] { settings_watch_.Reload(); }),
        document_(std::move(control.read_document), settings_.document_apply),
        evacuations_(settings_.document_apply),
        peers_(PeerSettings(settings_),
               [this](const vm_message& message, auto respond) {
                 OnPeerMessage(message, std::move(respond));
               }),
        watcher_(io_, peers_, settings_.vm, true, WatcherHooks()),
        fetcher_(settings_.vm, settings_.failure_domain, FetcherHooks()),
        relay_(settings_.link_mbps),
        connections_(io_, settings_.endpoint_source),
        relay_connections_(io_),
        pools_(PlacementSettings(settings_), settings_.retries, SystemRandom(),
               [this](const endpoint_record& changed) {
                 OnEndpointChange(changed);
               }),
        relays_(SystemRandom()),
        relay_finder_(watcher_, relays_, SystemRandom(), SteadyNow),
        origins_(
            watcher_, settings_.vm,
            [this](const model_id& id, milliseconds period) {
              return OnlySoftware(id, period);
            },
            [this](const model_id& pool, const endpoint_id& id) {
              return SoftwareOf(pool, id);
            },
            SteadyNow),
        faults_(io_, connections_, watcher_, log_,
                [this](const endpoint_record& endpoint) {
                  ForgetFailures(endpoint);
                }),
        prober_(io_, connections_, pools_,
                [this](const model_id& pool, link_state state,
                       std::size_t reached, std::size_t failed) {
                  LogLinks(log_, pool, state, reached, failed);
                }),
        listener_(
            io_, {*settings_.callers, MaxCallerConnections()},
            [this](const auto& caller, caller_message message) {
              calls_.Start(caller, std::move(message));
            },
            [this](parse_state state, int status) {
              OnUnreadable(state, status);
            },
            SteadyNow),
        relay_listener_(
            io_, {settings_.relay, kMaxRelayConnections},
            [this](const auto& caller, caller_message message) {
              calls_.StartRelayed(caller, std::move(message), IsBehind());
            },
            [this](parse_state state, int status) {
              OnUnreadable(state, status);
            },
            SteadyNow),
        settings_watch_(std::move(settings_file),
                        [this](const node_settings& changed) {
                          watcher_.SetSeeds(SeedVms(changed));
                        }),
        calls_(environment_) {
    SetLogWriter([this](std::string_view event, std::string_view fields) {
      log_.Write(event, fields);
    });
    const auto on_unreceived = [this](std::string_view request,
                                      std::size_t unsent,
                                      std::size_t unacknowledged) {
      metrics_.CountUnreceived();
      LogUnreceived(log_, request, unsent, unacknowledged);
    };
    listener_.OnUnreceived(on_unreceived);
    relay_listener_.OnUnreceived(on_unreceived);
    pools_.OnDomainReturn(
        [this](const failure_domain_id& domain, steady_time now) {
          pools_.AssumeCold(
              domain, now + kColdIntervals * settings_.heartbeat_interval);
        });
    listener_.SetMemory(memory_, {});
    relay_listener_.SetMemory(memory_, {{kRelayField, kRelayUnavailable}});
    memory_.OnShortage([this](const memory_shortage& shortage) {
      metrics_.CountMemoryClose(shortage.reason);
      LogMemoryClose(log_, shortage);
    });
    if (settings_.memory_mb > 0) ReturnReleasedBuffers();
    connections_.OnIdleEnd([this](const endpoint_id& endpoint) {
      pools_.OnIdleConnectionLost(endpoint, SteadyNow());
    });
    environment_.dialect = std::move(requests);
    environment_.connections = &connections_;
    environment_.relay_connections = &relay_connections_;
    environment_.relays = &relays_;
    environment_.document_port = settings_.peers.port;
    environment_.fetch_document = [this](const auto& vm, auto version) {
      fetcher_.FetchFrom(vm, version);
    };
    environment_.metrics = &metrics_;
    environment_.log = &log_;
    environment_.table = [this] {
      return document_.is_serving() ? document_.table() : nullptr;
    };
    environment_.stop = &stop_;
    environment_.is_document_current = [this] {
      return document_.IsCurrent(SteadyNow());
    };
    environment_.may_serve = [this] {
      return evacuations_.MayServe(SteadyNow());
    };
    environment_.pool = [this](const model_id& id) { return pools_.Pool(id); };
    environment_.find_origin =
        [this](const std::string& request, const route_rule& route,
               const auto& done) { origins_.Find(request, route, done); };
    environment_.record_origin = [this](const std::string& request,
                                        const model_id& pool,
                                        software_digest software) {
      origins_.Record(request, software, pools_.HasSeveralVersions(pool));
    };
    environment_.await_records = [this](steady_time moment,
                                        std::function<void(bool)> done) {
      watcher_.records().Await(moment, std::move(done), SteadyNow());
    };
    environment_.records_as_of = [this] {
      return watcher_.records().latest_as_of();
    };
    environment_.record_origin_later =
        [this](const unconfirmed_origin& origin) {
          origins_.RecordWhenConfirmed(origin);
        };
    environment_.retries = [this](const model_id& id) {
      return pools_.Retries(id);
    };
    faults_.Provide(environment_);
    environment_.entry_count = [this] {
      return watcher_.position().entry_count;
    };
    environment_.clock = SteadyNow;
    environment_.random = SystemRandom();
  }

  ~implementation() {
    peers_.Stop();
    SetLogWriter(nullptr);
  }

  result<void, start_error> Start() {
    if (auto listening = peers_.Listen(); !listening) {
      return failure(StartError(listening.assume_error()));
    }
    if (auto listening = listener_.Listen(); !listening) {
      return failure(StartError(listening.assume_error()));
    }
    if (auto listening = relay_listener_.Listen(); !listening) {
      return failure(StartError(listening.assume_error()));
    }
    if (auto listening = ListenHttp(readiness_, settings_.readiness);
        !listening) {
      return listening;
    }
    if (auto listening = ListenHttp(metrics_server_, settings_.metrics);
        !listening) {
      return listening;
    }
    watcher_.SetSeeds(SeedVms(settings_));
    log_.Write("started", log_fields()
                              .Add("role", "entry")
                              .Add("vm", settings_.vm.value())
                              .Add("seeds", settings_.seeds.size())
                              .text());
    return success();
  }

  void Run() {
    signals_.Start();
    Tick();
    io_.run();
    log_.Write(
        "stopped",
        log_fields()
            .Add("role", "entry")
            .Add("took_ms",
                 stop_.Elapsed(SteadyNow()).value_or(milliseconds(0)).count())
            .Add("ended_calls", ended_calls_)
            .text());
  }

 private:
  result<void, start_error> ListenHttp(
      std::optional<http_server>& server,
      const std::optional<socket_address>& address) {
    if (!address) return success();
    http_server_settings http;
    http.listen = *address;
    http.max_body_bytes = kMaxStatusBodyBytes;
    server.emplace(io_, http,
                   [this](const http_request& request,
                          const std::shared_ptr<http_responder>& responder) {
                     OnStatusRequest(request, responder);
                   });
    if (auto listening = server->Listen(); !listening) {
      return failure(StartError(listening.assume_error()));
    }
    return success();
  }

  control_watcher::hooks WatcherHooks() {
    control_watcher::hooks hooks;
    hooks.on_records = [this](const std::vector<endpoint_record>& records) {
      pools_.Merge(records, SteadyNow());
    };
    hooks.on_former_software =
        [this](const std::vector<software_presence>& presences) {
          pools_.MergeFormerSoftware(presences, SteadyNow());
        };
    hooks.on_loads = [this](const std::vector<shared_load>& loads) {
      const steady_time now = SteadyNow();
      pools_.MergeLoads(loads, now);
      faults_.OnLoads(loads, now);
    };
    hooks.take_loads = [this] { return pools_.TakeLoads(SteadyNow()); };
    hooks.take_progress = [this] { return pools_.Progress(SteadyNow()); };
    hooks.on_progress = [this](const vm_id& /*member*/,
                               const fleet_progress& others) {
      pools_.SetOthersProgress(others, SteadyNow());
    };
    hooks.on_newer_document = [this](document_version version) {
      fetcher_.Start(version);
    };
    hooks.on_confirmed = [this](document_version newest, steady_time as_of) {
      document_.Confirm(newest, as_of);
      UpdateServing(SteadyNow());
    };
    hooks.on_evacuations = [this](const evacuation_set& set,
                                  std::optional<steady_time> as_of) {
      if (evacuations_.Update(set, as_of)) OnEvacuations(set);
    };
    hooks.applied_evacuations = [this] { return evacuations_.set().change; };
    hooks.on_contact = [this](const vm_id& vm, bool reachable) {
      LogContact(log_, vm, reachable);
    };
    hooks.known_endpoints = [this] { return pools_.CountPresent(); };
    hooks.known_digests = [this] { return pools_.Digests(); };
    hooks.on_history = [this](steady_time started, steady_time as_of) {
      pools_.AddHistory(started, as_of);
    };
    hooks.take_origins = [this](std::uint64_t& number) {
      return origins_.TakeAfter(number);
    };
    hooks.on_faults = [this](const std::vector<content_fault>& faults) {
      faults_.contents().Merge(faults, SteadyNow());
    };
    hooks.take_faults = [this](std::uint64_t& number) {
      return faults_.contents().faults().TakeAfter(number);
    };
    hooks.relay = [this] { return RelayState(); };
    hooks.document = [this] {
      return std::max(document_.version(), fetcher_.required());
    };
    hooks.clock = SteadyNow;
    return hooks;
  }

  document_fetcher::hooks FetcherHooks() {
    document_fetcher::hooks hooks;
    hooks.members = [this](steady_time now) { return watcher_.Reachable(now); };
    hooks.request = [this](const vm_id& vm, std::string body,
                           milliseconds timeout,
                           document_fetcher::response_hook done) {
      watcher_.Request(vm, std::string(kDocumentKind), std::move(body), timeout,
                       std::move(done));
    };
    hooks.forward_time = [this] {
      const auto& packed = document_.stored().packed;
      const std::size_t bytes = packed ? packed->size() : 0;
      return document_relay::ForwardTime(settings_.link_mbps, bytes);
    };
    hooks.on_arrival = [this](const stored_document& document) {
      OnDocument(document);
    };
    hooks.log = [this](const document_fetch_outcome& outcome) {
      LogFetch(log_, outcome);
    };
    hooks.clock = SteadyNow;
    return hooks;
  }

  void OnEvacuations(const evacuation_set& set) {
    pools_.SetEvacuated(set.domains, SteadyNow());
    metrics_.SetEvacuated(set.domains.size());
    LogEvacuations(set);
  }

  void OnEndpointChange(const endpoint_record& changed) {
    LogEndpoint(log_, changed);
    faults_.OnRecord(changed);
    if (IsLeavingOrEnded(changed.phase)) connections_.Drop(changed.id);
  }

  /// The failures came from the links.
  void ForgetFailures(const endpoint_record& endpoint) {
    auto* known = pools_.Pool(endpoint.pool)->Find(endpoint.id);
    if (known != nullptr) known->ForgetFailures();
  }

  /// Runs on the transport's thread. Other entry processes request the routing
  /// document here.
  void OnPeerMessage(const vm_message& message,
                     peer_transport::respond_hook respond) {
    if (message.kind != kDocumentKind) {
      respond("");
      return;
    }
    asio::post(io_, [this, message, respond = std::move(respond)] {
      OnDocumentMessage(message, respond);
    });
  }

  void OnDocumentMessage(const vm_message& message,
                         const peer_transport::respond_hook& respond) {
    const auto request = DecodeDocumentRequest(message.body);
    if (!request) {
      respond("");
      return;
    }
    relay_.Request(
        vm_id(message.from), *request,
        [respond](const document_offer& offer) {
          respond(EncodeDocumentOffer(offer));
        },
        document_.stored(), SteadyNow());
  }

  void OnDocument(const stored_document& document) {
    const auto replaced = document_.Replace(document, SteadyNow());
    if (!replaced) {
      LogUnreadableDocument(log_, document.version,
                            replaced.assume_error().where);
      return;
    }
    if (!replaced.assume_value()) return;
    const auto& table = document_.table();
    caller_limits limits = table->document().limits;
    listener_.SetLimits(limits);
    limits.max_header_bytes += kRelayHeaderBytes;
    relay_listener_.SetLimits(limits);
    pools_.SetDocument(table);
    metrics_.SetDocumentVersion(table->version().value());
    LogDocument(log_, table->version(), table->document().routes.size());
    UpdateServing(SteadyNow());
  }

  /// A process that was cut off or frozen may not know of a new version yet.
  std::optional<software_digest> OnlySoftware(const model_id& pool,
                                              milliseconds period) const {
    const steady_time now = SteadyNow();
    if (!document_.IsCurrent(now)) return std::nullopt;
    return pools_.OnlySoftware(pool, period, now);
  }

  std::optional<software_digest> SoftwareOf(const model_id& pool,
                                            const endpoint_id& id) {
    const endpoint_estimate* endpoint = pools_.Pool(pool)->Find(id);
    if (endpoint == nullptr) return std::nullopt;
    return DigestOfSoftware(endpoint->record());
  }

  void UpdateServing(steady_time now) {
    if (!document_.StartServing(evacuations_.IsCurrent(now), now)) return;
    log_.Write("serving",
               log_fields()
                   .Add("document", document_.version().value())
                   .Add("proven", document_.IsCurrent(now) ? "yes" : "no")
                   .text());
  }

  /// This process does not get the processor time that it needs.
  bool IsBehind() const { return late_ticks_ >= kLateTicks; }

  relay_state RelayState() {
    relay_state state;
    state.port = settings_.relay.port;
    state.domain = DigestOfDomain(settings_.failure_domain);
    state.has_links =
        document_.is_serving() && !stop_.has_begun() && !HasLostLinks();
    return state;
  }

  bool HasLostLinks() {
    const steady_time now = SteadyNow();
    bool has_lost = false;
    pools_.ForEach([&](const model_id& /*id*/, const endpoint_pool& pool) {
      has_lost = has_lost || pool.reach().state(now) != link_state::kUp;
    });
    return has_lost;
  }

  void OnUnreadable(parse_state state, int status) {
    metrics_.CountUnreadable();
    log_.Write("unreadable_request", log_fields()
                                         .Add("state", static_cast<int>(state))
                                         .Add("status", status)
                                         .text());
  }

  bool IsReady() const {
    return document_.is_serving() && watcher_.HasHadContact() &&
           !stop_.has_begun();
  }

  void OnStatusRequest(const http_request& request,
                       const std::shared_ptr<http_responder>& responder) {
    if (request.path == "/readyz") {
      responder->Respond(IsReady() ? kStatusOk : kStatusUnavailable, {}, "");
    } else if (request.path == "/metrics") {
      responder->Respond(kStatusOk, {{"Content-Type", "text/plain"}},
                         metrics_.Text());
    } else {
      responder->Respond(kStatusNotFound, {}, "");
    }
  }

  void BeginStop() {
    // The last tick may have been handled together with the signal.
    stop_.Begin(previous_tick_, SteadyNow());
    log_.Write("stopping", log_fields()
                               .Add("role", "entry")
                               .Add("calls", calls_.size())
                               .Add("connections",
                                    listener_.size() + relay_listener_.size())
                               .text());
    listener_.CloseAfterResponses();
    relay_listener_.CloseAfterResponses();
  }

  void Tick() {
    const steady_time now = SteadyNow();
    const bool is_late = ticks_ > 0 && now - last_tick_ > kTick + kMaxTickDelay;
    late_ticks_ = is_late ? late_ticks_ + 1 : 0;
    previous_tick_ = std::exchange(last_tick_, now);
    calls_.Tick(now);
    watcher_.Tick(now);
    pools_.SetPosition(watcher_.position());
    pools_.SetInContact(!watcher_.Reachable(now).empty());
    evacuations_.MayServe(now);
    prober_.Tick(now);
    faults_.Tick(now);
    relay_finder_.Tick(HasLostLinks() || relays_.IsShort(now), now);
    fetcher_.Tick(now);
    relay_.Tick(document_.stored(), now);
    origins_.Tick(now);
    if (++ticks_ % kTicksPerSweep == 0) Sweep(now);
    if (ContinueStop(now)) return;
    timer_.expires_after(kTick);
    timer_.async_wait([this](std::error_code error) {
      if (!error) Tick();
    });
  }

  void Sweep(steady_time now) {
    UpdateServing(now);
    listener_.Tick(now);
    relay_listener_.Tick(now);
    connections_.Expire(now);
    relay_connections_.Expire(now);
    pools_.Tick(now);
    faults_.Expire(now);
    settings_watch_.Tick(now);
    const auto phases = pools_.CountPhases();
    metrics_.SetEndpoints(phases.ready, phases.silent, phases.leaving);
    metrics_.SetColdEndpoints(pools_.CountCold(now));
    metrics_.SetOpenCalls(calls_.size());
    metrics_.SetSlowEndpoints(pools_.CountSlow());
    metrics_.SetDroppedLines(log_.dropped());
    metrics_.SetMemory(memory_);
  }

  /// Continues the shutdown. Returns true when the process ends.
  bool ContinueStop(steady_time now) {
    if (!stop_.IsClosed(now)) return false;
    listener_.StopAccepting();
    listener_.CloseIdle(now);
    relay_listener_.StopAccepting();
    relay_listener_.CloseIdle(now);
    if (stop_.AreRequestsOver(now)) ended_calls_ += calls_.EndAll();
    const bool is_busy =
        !calls_.empty() || listener_.IsBusy(now) || relay_listener_.IsBusy(now);
    if (is_busy && !stop_.IsOver(now)) return false;
    listener_.CloseAll();
    relay_listener_.CloseAll();
    io_.stop();
    return true;
  }

  const node_settings settings_;
  stop_sequence stop_;
  /// Requests that the process ended because it stops.
  std::size_t ended_calls_ = 0;
  /// Handlers in the I/O context keep connections, which use it.
  memory_budget memory_;
  asio::io_context io_{1};
  asio::steady_timer timer_;
  process_signals signals_;
  decision_log log_;
  entry_metrics metrics_;
  call_environment environment_;
  document_in_force document_;
  evacuations_in_force evacuations_;
  peer_transport peers_;
  control_watcher watcher_;
  document_fetcher fetcher_;
  document_relay relay_;
  endpoint_connection_pool connections_;
  endpoint_connection_pool relay_connections_;
  pool_table pools_;
  relay_table relays_;
  relay_finder relay_finder_;
  stream_origin_finder origins_;
  content_fault_monitor faults_;
  reach_prober prober_;
  caller_listener listener_;
  caller_listener relay_listener_;
  settings_watch settings_watch_;
  std::optional<http_server> readiness_;
  std::optional<http_server> metrics_server_;
  call_set calls_;
  int ticks_ = 0;
  steady_time last_tick_;
  steady_time previous_tick_;
  /// Late ticks in a row up to the last one.
  int late_ticks_ = 0;
};

entry_process::entry_process(node_settings settings, std::string settings_file,
                             request_dialect requests, control_dialect control)
    : implementation_(std::make_unique<implementation>(
          std::move(settings), std::move(settings_file), std::move(requests),
          std::move(control))) {}

entry_process::~entry_process() = default;

result<void, start_error> entry_process::Start() {
  return implementation_->Start();
}

void entry_process::Run() { implementation_->Run(); }

}  // namespace marjoramsill
