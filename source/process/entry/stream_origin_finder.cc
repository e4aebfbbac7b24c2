#include "process/entry/stream_origin_finder.h"

#include <xxhash.h>

#include <algorithm>
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

/// Streams that begin within this time are reported together.
constexpr std::chrono::milliseconds kReportDelay{50};
/// Members that get a report, so that it outlives the loss of one. A question
/// goes to all members.
constexpr std::size_t kReportCopies = 2;
constexpr std::chrono::milliseconds kReportTimeout{500};
/// An origin that is not confirmed within this time stays unknown. Callers take
/// up a stream within two seconds or so.
constexpr std::chrono::milliseconds kConfirmTime{3'000};
/// A member answers from memory, within a few milliseconds. After a restart of
/// other entry VMs this one may be too busy to read the answer for longer.
constexpr std::chrono::milliseconds kAskTimeout{1'000};

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
                                           const vm_id& self,
                                           only_software_hook only_software,
                                           software_hook software_of,
                                           std::function<steady_time()> clock)
    : members_(members),
      self_hash_(XXH3_64bits(self.value().data(), self.value().size())),
      only_software_(std::move(only_software)),
      software_of_(std::move(software_of)),
      clock_(std::move(clock)) {}

void stream_origin_finder::Record(const std::string& request,
                                  software_digest software, bool is_urgent) {
  const steady_time now = clock_();
  known_.Record({DigestOfStream(request), software}, now);
  if (is_urgent && !report_due_) report_due_ = now + kReportDelay;
}

void stream_origin_finder::RecordWhenConfirmed(
    const unconfirmed_origin& origin) {
  unconfirmed_.push_back(origin);
}

void stream_origin_finder::RecordConfirmed(steady_time now) {
  const auto as_of = members_.records().latest_as_of();
  std::erase_if(unconfirmed_, [&](const unconfirmed_origin& each) {
    if (!as_of || *as_of < each.opened_at) {
      return now - each.opened_at > kConfirmTime;
    }
    if (software_of_(each.pool, each.endpoint) == each.software) {
      Record(each.request, each.software, true);
    }
    return true;
  });
}

void stream_origin_finder::Tick(steady_time now) {
  known_.Expire(now);
  RecordConfirmed(now);
  if (report_due_ && now >= *report_due_) Report(now);
}

void stream_origin_finder::Report(steady_time now) {
  report_due_.reset();
  const auto members = members_.Reachable(now);
  if (members.empty()) return;
  const std::string report = EncodeStreamOrigins(known_.TakeAfter(reported_));
  const std::size_t copies = std::min(kReportCopies, members.size());
  for (std::size_t i = 0; i < copies; ++i) {
    const reachable_member& member = members[(self_hash_ + i) % members.size()];
    members_.Request(member.vm, std::string(kStreamsBegunKind), report,
                     kReportTimeout, [](const auto& /*response*/) {});
  }
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
    // A stream is taken up again within the time limit of its route.
    const model_id& pool = route.targets.front().pool;
    if (only_software_(pool, route.timeout)) {
      FindInPool(stream, pool, route.timeout, done);
      return;
    }
  }
  AskMembers(stream, done);
}

/// An endpoint of another version may have announced itself to the control
/// processes while this one was cut off or suspended.
void stream_origin_finder::FindInPool(stream_digest stream,
                                      const model_id& pool,
                                      std::chrono::milliseconds period,
                                      const finding_hook& done) {
  const steady_time now = clock_();
  members_.records().Await(
      now,
      [this, stream, pool, period, done](bool is_current) {
        const auto software =
            is_current ? only_software_(pool, period) : std::nullopt;
        if (software) {
          done({software, "one_version"});
        } else {
          AskMembers(stream, done);
        }
      },
      now);
}

/// After a suspension no member counts as reachable, until the first one has
/// responded again a few milliseconds later.
void stream_origin_finder::AskMembers(stream_digest stream,
                                      const finding_hook& done) {
  const steady_time now = clock_();
  if (!members_.Reachable(now).empty()) {
    AskReachable(stream, done);
    return;
  }
  members_.records().Await(
      now,
      [this, stream, done](bool /*is_current*/) { AskReachable(stream, done); },
      now);
}

void stream_origin_finder::AskReachable(stream_digest stream,
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
