#ifndef MARJORAMSILL_PROCESS_DAEMON_OPERATOR_API_H_
#define MARJORAMSILL_PROCESS_DAEMON_OPERATOR_API_H_

#include <functional>
#include <memory>
#include <string>

#include "request/http_request.h"

namespace marjoramsill {

class control_plane;
class control_service;
class fleet_membership;
class http_responder;
class leader_client;
class peer_transport;
class policy_distribution;
class policy_store;
class pool_shards;
struct settings;

/// Parts of the process that the operator API queries. `control` is null on a
/// VM that is not a control member.
struct operator_sources {
  const settings& process_settings;
  peer_transport& peers;
  const fleet_membership& membership;
  const policy_distribution& distribution;
  const pool_shards& shards;
  const policy_store& policy;
  leader_client& leaders;
  const control_plane* control = nullptr;
  /// Whether the VM accepts requests of callers.
  std::function<bool()> is_ready;
};

/// HTTP API for operators on the control address. Only the submission of a
/// section changes the fleet.
class operator_api {
 public:
  explicit operator_api(operator_sources sources) : sources_(sources) {}

  void AddTo(control_service& service);
  /// Body of the response to a `counters` message.
  std::string EncodeLocalCounters() const;

 private:
  using responder_ptr = std::shared_ptr<http_responder>;

  void Submit(const http_request& request, const responder_ptr& responder);
  void Section(const http_request& request, const responder_ptr& responder);
  void Sections(const responder_ptr& responder);
  void Status(const responder_ptr& responder);
  void Report(const http_request& request, const responder_ptr& responder);

  operator_sources sources_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_OPERATOR_API_H_
