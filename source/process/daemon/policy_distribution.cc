#include "process/daemon/policy_distribution.h"

#include <cstdlib>
#include <type_traits>
#include <utility>
#include <variant>

#include "connection/peer_transport.h"
#include "process/daemon/document_file.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/settings.h"
#include "process/daemon/steady_clock.h"
#include "process/replication/posix_folder.h"
#include "version/policy_snapshot.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::milliseconds kMessageTimeout{1'000};
constexpr const char* kFolder = "/policy";
constexpr const char* kFile = "in-force";

std::vector<vm_location> Locations(const settings& from) {
  std::vector<vm_location> all;
  for (const fleet_vm& vm : from.fleet) all.push_back({vm.id, vm.domain});
  return all;
}

}  // namespace

policy_distribution::policy_distribution(const settings& process_settings,
                                         peer_transport& peers,
                                         install_hook install)
    : settings_(process_settings),
      peers_(peers),
      install_(std::move(install)) {}

result<void, start_error> policy_distribution::Start() {
  auto document = ReadDocument();
  if (!document) return failure(std::move(document).assume_error());
  follower_start start;
  start.self = {settings_.vm, settings_.failure_domain};
  start.minimum_version = document.assume_value().version();
  start.document = std::move(document).assume_value();
  {
    const std::lock_guard lock(mutex_);
    follower_ = std::make_unique<version_follower>(
        std::move(start), follower_options{}, SystemRandom());
  }
  Run([](version_follower& follower, steady_time now) {
    return follower.Start(now);
  });
  Run([this](version_follower& follower, steady_time now) {
    return follower.OnVmList(now, Locations(settings_));
  });
  return success();
}

template <class Input>
void policy_distribution::Run(Input input) {
  follower_actions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = input(*follower_, SteadyNow());
  }
  Execute(actions);
}

void policy_distribution::Tick(const vm_id& newest_holder,
                               document_version newest) {
  Run([&](version_follower& follower, steady_time now) {
    follower_actions actions;
    if (!newest_holder.empty()) {
      actions = follower.OnPeerVersion(now, newest_holder, newest);
    }
    follower_actions ticked = follower.OnTick(now);
    actions.insert(actions.end(), ticked.begin(), ticked.end());
    return actions;
  });
}

void policy_distribution::OnCommitted(const section_ptr& record,
                                      bool is_leader) {
  Run([&](version_follower& follower, steady_time now) {
    return follower.OnCommitted(now, record, is_leader);
  });
}

void policy_distribution::OnRestored(const policy_document& document) {
  Run([&](version_follower& follower, steady_time now) {
    return follower.OnRestored(now, document);
  });
}

void policy_distribution::OnPush(std::string_view body) {
  const auto push = DecodePush(body);
  if (!push) {
    LogEvent(log_level::kWarning, "policy_change_refused");
    return;
  }
  Run([&](version_follower& follower, steady_time now) {
    return follower.OnPush(now, push.assume_value());
  });
}

std::string policy_distribution::OnFetch(const vm_id& from,
                                         std::string_view body) {
  const auto request = DecodeFetch(body);
  if (!request) {
    LogEvent(log_level::kWarning, "policy_fetch_refused");
    return {};
  }
  follower_actions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = follower_->OnFetch(SteadyNow(), from, request.assume_value());
  }
  std::string encoded;
  follower_actions others;
  for (const follower_action& action : actions) {
    if (const auto* sent = std::get_if<send_response>(&action)) {
      encoded = EncodeFetchResponse(sent->payload);
    } else {
      others.push_back(action);
    }
  }
  Execute(others);
  return encoded;
}

void policy_distribution::Execute(const follower_actions& actions) {
  for (const follower_action& action : actions) {
    if (const auto* push = std::get_if<send_push>(&action)) {
      SendPush(*push);
    } else if (const auto* fetch = std::get_if<send_fetch>(&action)) {
      SendFetch(*fetch);
    } else if (const auto* install = std::get_if<install_version>(&action)) {
      Install(*install);
    }
  }
}

void policy_distribution::SendPush(const send_push& action) {
  const fleet_vm* vm = settings_.FindVm(action.to);
  if (vm == nullptr) return;
  peers_.Send(vm->peers,
              {std::string(kPolicyChangesKind), EncodePush(action.push), {}},
              kMessageTimeout, [](const auto& /*result*/) {});
}

void policy_distribution::SendFetch(const send_fetch& action) {
  const fleet_vm* vm = settings_.FindVm(action.to);
  if (vm == nullptr) return;
  peers_.Send(
      vm->peers,
      {std::string(kPolicyFetchKind), EncodeFetch(action.request), {}},
      kMessageTimeout,
      [this, to = action.to](const result<std::string, peer_error>& received) {
        if (!received) return;
        const auto decoded = DecodeFetchResponse(received.assume_value());
        if (!decoded) {
          LogEvent(log_level::kWarning, "policy_reply_refused",
                   {{"vm", to.value()}});
          return;
        }
        Run([&](version_follower& follower, steady_time now) {
          return follower.OnFetchResponse(now, to, decoded.assume_value());
        });
      });
}

void policy_distribution::Install(const install_version& action) {
  for (const section_error& error : action.errors) {
    LogEvent(log_level::kError, "section_not_compiled",
             {{"error", Describe(error)}});
  }
  const std::lock_guard lock(install_mutex_);
  const document_version version = action.snapshot->version();
  // Two threads may execute actions concurrently; an older version must not
  // replace a newer one.
  if (version < installed_) return;
  // Written to disk before it takes effect, so that a restart does not restore
  // an older version.
  if (version > installed_) WriteDocument();
  installed_ = version;
  install_(action.snapshot);
  LogEvent(log_level::kInfo, "policy_in_force",
           {{"version", std::to_string(version.value())}});
}

result<policy_document, start_error> policy_distribution::ReadDocument() const {
  if (settings_.data_folder.empty()) return policy_document();
  const std::string path = settings_.data_folder + kFolder;
  posix_folder folder(path);
  const auto created = folder.Create();
  if (!created) {
    return failure(start_error{path, created.assume_error().detail});
  }
  const auto names = folder.List();
  if (!names) return failure(start_error{path, names.assume_error().detail});
  bool present = false;
  for (const std::string& name : names.assume_value()) {
    present = present || name == kFile;
  }
  if (!present) return policy_document();
  const auto bytes = folder.Read(kFile);
  const std::string file = path + "/" + kFile;
  if (!bytes) return failure(start_error{file, bytes.assume_error().detail});
  auto document = DecodeDocument(bytes.assume_value());
  if (!document) return failure(start_error{file, "the file is damaged"});
  return std::move(*document);
}

void policy_distribution::WriteDocument() {
  if (settings_.data_folder.empty()) return;
  std::string bytes;
  {
    const std::lock_guard lock(mutex_);
    bytes = EncodeDocument(follower_->held().document());
  }
  posix_folder folder(settings_.data_folder + kFolder);
  const auto written = folder.Replace(kFile, bytes);
  if (written) return;
  LogEvent(log_level::kError, "storage_failed",
           {{"file", written.assume_error().file},
            {"detail", written.assume_error().detail}});
  std::_Exit(EXIT_FAILURE);
}

void policy_distribution::FetchWorkspace(const workspace_id& workspace) {
  Run([&](version_follower& follower, steady_time now) {
    return follower.OnWorkspaceRequested(now, workspace);
  });
}

document_version policy_distribution::version() const {
  const std::lock_guard lock(mutex_);
  return follower_->version();
}

section_ptr policy_distribution::FindSection(const section_name& name) const {
  const std::lock_guard lock(mutex_);
  return follower_->held().document().Find(name);
}

std::vector<section_ptr> policy_distribution::Sections() const {
  const std::lock_guard lock(mutex_);
  std::vector<section_ptr> all;
  for (const auto& [version, record] :
       follower_->held().document().by_version()) {
    all.push_back(record);
  }
  return all;
}

}  // namespace marjoramsill
