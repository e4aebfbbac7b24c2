#ifndef MARJORAMSILL_TESTS_SOAK_LINK_PROXY_H_
#define MARJORAMSILL_TESTS_SOAK_LINK_PROXY_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "connection/socket_address.h"

namespace marjoramsill::soak {

enum class link_mode {
  kPass,
  /// Delivers bytes with a delay.
  kDelay,
  /// Drops all bytes; connections stay open and new ones are accepted.
  kDropAll,
  /// Drops only bytes towards the target.
  kDropToTarget,
  /// Drops only bytes from the target.
  kDropFromTarget,
  /// Closes new connections at once.
  kRefuse,
};

/// What happens to the connections of a VM that is cut off. New ones get no
/// answer in any case.
enum class cut_form {
  /// They stay open and carry nothing.
  kSilent,
  kReset,
  /// They go on to work.
  kKept,
};

/// Loopback proxy in front of one address that injects connection faults.
class link_proxy {
 public:
  link_proxy(asio::io_context& io, const socket_address& listen,
             socket_address target);
  ~link_proxy();
  link_proxy(const link_proxy&) = delete;
  link_proxy& operator=(const link_proxy&) = delete;

  /// Called when bytes of all VMs may be lost or connections are reset from now
  /// on.
  void OnFault(std::function<void()> hook) { on_fault_ = std::move(hook); }
  /// Bytes of new connections of the VM with this IP are delivered.
  bool IsSoundFor(const std::string& source) const;
  /// The connections that are open now carry nothing more, but stay open; new
  /// ones work.
  void Silence();
  /// Cuts off the VMs with these IPs, or none any more.
  void CutFrom(const std::vector<std::string>& sources, cut_form form);
  /// While it does not listen, connections are refused.
  void Listen(bool listens);
  void SetMode(link_mode mode);
  /// Resets all open connections.
  void Reset();

 private:
  class link;
  void Accept();
  /// Makes the kernel drop the packets of the VMs that are cut off.
  void FilterPackets(int socket) const;

  asio::io_context& io_;
  const asio::ip::tcp::endpoint listen_;
  const socket_address target_;
  asio::ip::tcp::acceptor acceptor_;
  std::list<std::weak_ptr<link>> links_;
  std::shared_ptr<link_mode> mode_;
  std::vector<std::string> cut_sources_;
  std::function<void()> on_fault_ = [] {};
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_LINK_PROXY_H_
