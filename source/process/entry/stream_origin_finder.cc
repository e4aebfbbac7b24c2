#include "process/entry/stream_origin_finder.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

#include "process/daemon/peer_kinds.h"
#include "process/directory/control_watcher.h"
#include "process/directory/document_holder.h"
#include "version/routing/route_rule.h"

namespace marjoramsill {
namespace {

/// A member answers from memory, within a few milliseconds.
constexpr std::chrono::milliseconds kAskTimeout{300};

/// One question to several members: the first useful answer counts.
struct pending_question {
  std::size_t open = 0;
  stream_origin_finder::finding_hook done;

  void OnAnswer(std::optional<software_digest> software) {
    --open;
    if (!done || (!software && open > 0)) return;
    const auto finish = std::exchange(done, nullptr);
    finish({software, software ? "control" : "nowhere"});
  }
};

}  // namespace

stream_origin_finder::stream_origin_finder(control_watcher& members,
                                           only_software_hook only_software,
                                           std::function<steady_time()> clock)
    : members_(members),
      only_software_(std::move(only_software)),
      clock_(std::move(clock)) {}

void stream_origin_finder::Record(const std::string& request,
                                  software_digest software) {
  known_.Record({DigestOfStream(request), software}, clock_());
}

void stream_origin_finder::Find(const std::string& request,
                                const route_rule& route,
                                const finding_hook& done) {
  const stream_digest stream = DigestOfStream(request);
  if (const auto software = known_.Find(stream)) {
    done({software, "here"});
    return;
  }
  if (route.targets.size() == 1) {
    if (const auto software = only_software_(route.targets.front().pool)) {
      done({software, "one_version"});
      return;
    }
  }
  AskMembers(stream, done);
}

void stream_origin_finder::AskMembers(stream_digest stream,
                                      const finding_hook& done) {
  const auto members = members_.Reachable(clock_());
  if (members.empty()) {
    done({});
    return;
  }
  const auto question = std::make_shared<pending_question>();
  question->open = members.size();
  question->done = done;
  for (const reachable_member& member : members) {
    members_.Request(member.vm, std::string(kStreamOriginKind),
                     EncodeStreamDigest(stream), kAskTimeout,
                     [question](const std::optional<std::string>& answer) {
                       question->OnAnswer(answer ? DecodeSoftwareDigest(*answer)
                                                 : std::nullopt);
                     });
  }
}

}  // namespace marjoramsill
