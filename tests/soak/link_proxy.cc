#include "link_proxy.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace marjoramsill::soak {
namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds kDelay{40};

tcp::endpoint EndpointOf(const socket_address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

}  // namespace

class link_proxy::link : public std::enable_shared_from_this<link> {
 public:
  link(tcp::socket caller, asio::io_context& io,
       std::shared_ptr<link_mode> mode)
      : caller_(std::move(caller)),
        target_(io),
        mode_(std::move(mode)),
        timers_{asio::steady_timer(io), asio::steady_timer(io)} {}

  void Start(const socket_address& address) {
    BindToCallerIp();
    target_.async_connect(EndpointOf(address),
                          [self = shared_from_this()](std::error_code error) {
                            if (error) return self->Reset();
                            self->ReadNext(0);
                            self->ReadNext(1);
                          });
  }

  void Silence() { drops_all_bytes_ = true; }
  bool IsFrom(const std::vector<std::string>& sources) const {
    std::error_code error;
    const std::string ip = caller_.remote_endpoint(error).address().to_string();
    return std::find(sources.begin(), sources.end(), ip) != sources.end();
  }
  int caller_socket() { return caller_.native_handle(); }

  void Reset() {
    std::error_code ignored;
    caller_.set_option(asio::socket_base::linger(true, 0), ignored);
    target_.set_option(asio::socket_base::linger(true, 0), ignored);
    caller_.close(ignored);
    target_.close(ignored);
  }

 private:
  /// The target sees the IP of the caller, by which it tells VMs apart.
  void BindToCallerIp() {
    std::error_code ignored;
    const auto ip = caller_.remote_endpoint(ignored).address();
    target_.open(tcp::v4(), ignored);
    target_.set_option(asio::ip::tcp::socket::reuse_address(true), ignored);
    target_.bind(tcp::endpoint(ip, 0), ignored);
  }

  /// Direction 0 is towards the target, 1 towards the caller.
  void ReadNext(std::size_t direction) {
    tcp::socket& from = direction == 0 ? caller_ : target_;
    from.async_read_some(asio::buffer(buffers_[direction]),
                         [self = shared_from_this(), direction](
                             std::error_code error, std::size_t bytes) {
                           if (error) return self->OnEnd(direction, error);
                           self->Deliver(direction, bytes);
                         });
  }

  /// Forwards the orderly shutdown of one side; a failure resets both sides. A
  /// shutdown behind lost bytes is lost too: TCP delivers none without them.
  void OnEnd(std::size_t direction, std::error_code error) {
    if (error != asio::error::eof) return Reset();
    if (drops_all_bytes_) return;
    std::error_code ignored;
    (direction == 0 ? target_ : caller_)
        .shutdown(tcp::socket::shutdown_send, ignored);
    if (++closed_directions_ == 2) Reset();
  }

  void Deliver(std::size_t direction, std::size_t bytes) {
    const bool is_lost =
        *mode_ == link_mode::kDropAll ||
        (*mode_ == link_mode::kDropToTarget && direction == 0) ||
        (*mode_ == link_mode::kDropFromTarget && direction == 1);
    // A connection that lost bytes drops all later bytes too, also after the
    // mode changes, since the stream would have a gap.
    if (is_lost || drops_all_bytes_) {
      drops_all_bytes_ = true;
      return ReadNext(direction);
    }
    if (*mode_ != link_mode::kDelay) return Forward(direction, bytes);
    timers_[direction].expires_after(kDelay);
    timers_[direction].async_wait(
        [self = shared_from_this(), direction, bytes](std::error_code) {
          self->Forward(direction, bytes);
        });
  }

  void Forward(std::size_t direction, std::size_t bytes) {
    tcp::socket& to = direction == 0 ? target_ : caller_;
    asio::async_write(to, asio::buffer(buffers_[direction], bytes),
                      [self = shared_from_this(), direction](
                          std::error_code error, std::size_t) {
                        if (error) return self->Reset();
                        self->ReadNext(direction);
                      });
  }

  tcp::socket caller_;
  tcp::socket target_;
  const std::shared_ptr<link_mode> mode_;
  std::array<asio::steady_timer, 2> timers_;
  std::array<std::array<char, 8192>, 2> buffers_;
  int closed_directions_ = 0;
  bool drops_all_bytes_ = false;
};

link_proxy::link_proxy(asio::io_context& io, const socket_address& listen,
                       socket_address target)
    : io_(io),
      listen_(EndpointOf(listen)),
      target_(std::move(target)),
      acceptor_(io, listen_),
      mode_(std::make_shared<link_mode>(link_mode::kPass)) {
  Accept();
}

link_proxy::~link_proxy() { Reset(); }

void link_proxy::Silence() {
  on_fault_();
  for (const auto& each : links_) {
    if (const auto open = each.lock()) open->Silence();
  }
}

void link_proxy::FilterPackets(int socket) const {
  // Packets of a cut source are dropped, all others are kept whole.
  constexpr std::uint32_t kSourceAddress =
      static_cast<std::uint32_t>(SKF_NET_OFF) + 12;
  constexpr std::uint32_t kKeepAll = 0xffffffff;
  const auto sources = static_cast<std::uint8_t>(cut_sources_.size());
  std::vector<sock_filter> program;
  program.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kSourceAddress));
  for (std::uint8_t i = 0; i < sources; ++i) {
    const auto ip = asio::ip::make_address_v4(cut_sources_[i]).to_uint();
    program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ip,
                               static_cast<std::uint8_t>(sources - i), 0));
  }
  program.push_back(BPF_STMT(BPF_RET | BPF_K, kKeepAll));
  program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  const sock_fprog filter{static_cast<unsigned short>(program.size()),
                          program.data()};
  ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

void link_proxy::CutFrom(const std::vector<std::string>& sources,
                         cut_form form) {
  cut_sources_ = sources;
  if (acceptor_.is_open()) FilterPackets(acceptor_.native_handle());
  if (form == cut_form::kKept) return;
  for (const auto& each : links_) {
    const auto open = each.lock();
    if (!open || !open->IsFrom(sources)) continue;
    if (form == cut_form::kReset) {
      open->Reset();
    } else {
      open->Silence();
      FilterPackets(open->caller_socket());
    }
  }
}

bool link_proxy::IsSoundFor(const std::string& source) const {
  const bool is_cut = std::find(cut_sources_.begin(), cut_sources_.end(),
                                source) != cut_sources_.end();
  return *mode_ == link_mode::kPass && !is_cut;
}

void link_proxy::Listen(bool listens) {
  if (listens == acceptor_.is_open()) return;
  if (!listens) {
    acceptor_.close();
    return;
  }
  acceptor_ = asio::ip::tcp::acceptor(io_, listen_);
  if (!cut_sources_.empty()) FilterPackets(acceptor_.native_handle());
  Accept();
}

void link_proxy::SetMode(link_mode mode) {
  *mode_ = mode;
  if (mode != link_mode::kPass) on_fault_();
}

void link_proxy::Reset() {
  on_fault_();
  for (const auto& each : links_) {
    if (const auto open = each.lock()) open->Reset();
  }
  links_.clear();
}

void link_proxy::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error) return;
    std::erase_if(links_, [](const auto& each) { return each.expired(); });
    if (*mode_ != link_mode::kRefuse) {
      auto opened = std::make_shared<link>(std::move(socket), io_, mode_);
      links_.push_back(opened);
      opened->Start(target_);
    }
    Accept();
  });
}

}  // namespace marjoramsill::soak
