#include "process/admission/limit_arbiter.h"

#include <algorithm>

namespace marjoramsill {

limit_arbiter::limit_arbiter(const limit_settings& settings, steady_time start)
    : settings_(settings), start_(start) {}

limit_arbiter::answer limit_arbiter::Ask(const workspace_id& workspace,
                                         const vm_id& from, std::uint64_t life,
                                         steady_time now) {
  const steady_time known_from = start_ + settings_.licence;
  if (now < known_from) return {};
  auto [at, is_new] = licences_.try_emplace(workspace);
  licence& of = at->second;
  if (is_new) of.other_until = known_from;
  const bool same = !is_new && of.to == from && of.life == life;
  if (!same && !is_new) {
    if (now < of.until) return {};
    of.other_until = std::max(of.other_until, of.until);
  }
  of.to = from;
  of.life = life;
  of.until = now + settings_.licence;
  const steady_time safe = of.other_until + settings_.longest_request;
  return {.granted = true,
          .unsafe = std::max(safe - now, std::chrono::microseconds(0))};
}

void limit_arbiter::Refuse(const workspace_id& workspace, steady_time until) {
  licence& of = licences_[workspace];
  of.to = vm_id();
  of.until = std::max(of.until, until);
}

void limit_arbiter::Forget(steady_time now) {
  std::erase_if(licences_, [&](const auto& item) {
    return now > item.second.until + settings_.longest_request;
  });
}

}  // namespace marjoramsill
