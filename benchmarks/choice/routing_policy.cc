#include "routing_policy.h"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

namespace marjoramsill {
namespace {

constexpr steady_time kAlwaysFresh = steady_time::max();

std::uint64_t ChatKey(const engine_request& request) {
  return PlacementKey("chat-" + std::to_string(request.chat));
}

class chooser_policy : public routing_policy {
 public:
  chooser_policy(const failure_domain_id& domain,
                 std::shared_ptr<const placement> table, double margin)
      : chooser_(Settings(domain, margin), table) {
    SetPlacement(std::move(table));
  }

  void SetPlacement(std::shared_ptr<const placement> table) override {
    chooser_.SetPlacement(std::move(table));
    for (endpoint_index i = 0; i < chooser_.table().endpoints().size(); ++i) {
      chooser_.SetCondition(i, {kAlwaysFresh, true});
    }
  }
  void Tick(steady_time now) override { chooser_.Tick(now); }
  void OnReport(endpoint_index index, std::uint32_t requests,
                steady_time as_of) override {
    chooser_.OnReport(index, requests, as_of);
  }
  endpoint_index Choose(const engine_request& request,
                        steady_time now) override {
    choice_request choice_input;
    choice_input.key = ChatKey(request);
    choice_input.prefix_tokens = token_count(request.prompt_tokens);
    const auto choice = chooser_.Choose(choice_input, now);
    // The simulated router has no queue, so a request is sent even if there is
    // no choice.
    return choice ? choice.value().index
                  : static_cast<endpoint_index>(
                        choice_input.key % chooser_.table().endpoints().size());
  }
  void OnSent(const engine_request& request, endpoint_index index,
              steady_time now) override {
    chooser_.OnSent(ChatKey(request), index, now);
  }
  void OnFinished(endpoint_index index, steady_time now) override {
    chooser_.OnFinished(index, now);
  }

 private:
  static endpoint_chooser_settings Settings(const failure_domain_id& domain,
                                            double margin) {
    endpoint_chooser_settings settings;
    settings.own_domain = domain;
    settings.load.margin_deviations = margin;
    return settings;
  }

  endpoint_chooser chooser_;
};

/// Alternative and baseline policies based on a load table.
class table_policy : public routing_policy {
 public:
  table_policy(std::string name, failure_domain_id domain,
               std::shared_ptr<const placement> table, std::uint64_t seed)
      : name_(std::move(name)), domain_(std::move(domain)), random_(seed) {
    SetPlacement(std::move(table));
  }

  void SetPlacement(std::shared_ptr<const placement> table) override {
    loads_.Assign(table_.get(), *table);
    table_ = std::move(table);
    ids_.clear();
    for (endpoint_index i = 0; i < table_->endpoints().size(); ++i) {
      ids_.push_back(PlacementKey(table_->endpoints()[i].id.value()));
      loads_.SetCondition(i, {kAlwaysFresh, true});
    }
  }
  void Tick(steady_time now) override { loads_.Tick(now); }
  void OnReport(endpoint_index index, std::uint32_t requests,
                steady_time as_of) override {
    loads_.OnReport(index, requests, as_of);
    if (reported_.size() <= index) reported_.resize(index + 1);
    reported_[index] = requests;
  }
  void OnSent(const engine_request&, endpoint_index index,
              steady_time now) override {
    loads_.OnSent(index, now);
  }
  void OnFinished(endpoint_index index, steady_time now) override {
    loads_.OnFinished(index, now);
  }

  endpoint_index Choose(const engine_request& request,
                        steady_time now) override {
    if (name_ == "bounded_ring") return FirstOnRing(request, now);
    const std::vector<endpoint_index> own = Candidates(now);
    if (name_ == "round_robin") return own[next_endpoint_++ % own.size()];
    if (name_ == "least_reported") return LeastReported(own);
    std::vector<endpoint_index> order = Order(own, ChatKey(request));
    if (name_ == "plain_hash") return order[0];
    order.resize(std::min<std::size_t>(order.size(), 3));
    if (name_ == "rendezvous_p2c") return LessLoaded(order, now);
    return Cheapest(order, request, now);
  }

 private:
  bool IsBelowBound(endpoint_index index, steady_time now) const {
    return loads_.ExpectedLoad(index, now) <= loads_.SafeLoadBound(index, now);
  }

  // The first endpoint on the ring that is below its bound.
  endpoint_index FirstOnRing(const engine_request& request,
                             steady_time now) const {
    const std::uint64_t key = ChatKey(request);
    const std::size_t rings = table_->rings().size();
    const std::size_t own = table_->RingOf(domain_).value_or(0);
    for (std::size_t r = 0; r < rings; ++r) {
      const auto& ring = table_->rings()[(own + r) % rings];
      const auto first_point =
          std::lower_bound(ring.points.begin(), ring.points.end(), key) -
          ring.points.begin();
      for (std::size_t i = 0; i < ring.points.size(); ++i) {
        const endpoint_index index =
            ring.point_owners[(static_cast<std::size_t>(first_point) + i) %
                              ring.points.size()];
        if (IsBelowBound(index, now)) return index;
      }
    }
    return 0;
  }

  // The endpoints of the own failure domain; those of all domains if none of
  // the own domain is below its bound.
  std::vector<endpoint_index> Candidates(steady_time now) const {
    std::vector<endpoint_index> own;
    bool any_below_bound = false;
    for (endpoint_index i = 0; i < ids_.size(); ++i) {
      if (table_->endpoints()[i].domain != domain_) continue;
      own.push_back(i);
      any_below_bound = any_below_bound || IsBelowBound(i, now);
    }
    const bool bounded = name_ == "rendezvous_p2c" || name_ == "estimated_cost";
    if (!own.empty() && (any_below_bound || !bounded)) return own;
    own.clear();
    for (endpoint_index i = 0; i < ids_.size(); ++i) {
      if (IsBelowBound(i, now)) own.push_back(i);
    }
    if (own.empty()) own.push_back(0);
    return own;
  }

  std::vector<endpoint_index> Order(std::vector<endpoint_index> endpoints,
                                    std::uint64_t key) const {
    const auto score = [&](endpoint_index i) {
      std::uint64_t mixed = (ids_[i] ^ key) * 0x9e3779b97f4a7c15U;
      return (mixed ^ (mixed >> 29)) * 0xbf58476d1ce4e5b9U;
    };
    std::sort(endpoints.begin(), endpoints.end(),
              [&](auto a, auto b) { return score(a) > score(b); });
    return endpoints;
  }

  endpoint_index LeastReported(const std::vector<endpoint_index>& own) {
    std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
    std::vector<endpoint_index> best;
    for (endpoint_index i : own) {
      const std::uint32_t load = i < reported_.size() ? reported_[i] : 0;
      if (load < lowest) best.clear();
      if (load <= lowest) best.push_back(i);
      lowest = std::min(lowest, load);
    }
    return best[random_() % best.size()];
  }

  // The first endpoint, unless it is at its bound and the second one is less
  // loaded. Always choosing the less loaded one would split each chat between
  // two caches.
  endpoint_index LessLoaded(const std::vector<endpoint_index>& order,
                            steady_time now) const {
    if (order.size() < 2 || IsBelowBound(order[0], now)) return order[0];
    return loads_.Estimate(order[1]) < loads_.Estimate(order[0]) ? order[1]
                                                                 : order[0];
  }

  endpoint_index Cheapest(const std::vector<endpoint_index>& order,
                          const engine_request& request,
                          steady_time now) const {
    double lowest = std::numeric_limits<double>::max();
    endpoint_index best = order[0];
    for (std::size_t i = 0; i < order.size(); ++i) {
      const placement_endpoint& endpoint = table_->endpoints()[order[i]];
      const double load = loads_.Estimate(order[i]);
      const double excess =
          std::max(0.0, load + 1 - loads_.SafeLoadBound(order[i], now));
      const double prefill_seconds =
          i == 0 ? 0
                 : static_cast<double>(request.prompt_tokens) /
                       endpoint.prefill_rate;
      // Each request above the bound waits until a slot becomes free.
      const double cost = prefill_seconds + excess * 5.0 / endpoint.capacity +
                          load / endpoint.capacity * 0.01;
      if (cost < lowest) {
        lowest = cost;
        best = order[i];
      }
    }
    return best;
  }

  std::string name_;
  failure_domain_id domain_;
  std::mt19937_64 random_;
  std::shared_ptr<const placement> table_;
  load_table loads_;
  std::vector<std::uint64_t> ids_;
  std::vector<std::uint32_t> reported_;
  std::uint64_t next_endpoint_ = 0;
};

}  // namespace

const std::vector<std::string>& PolicyNames() {
  static const std::vector<std::string> names = {
      "ring_cost",   "bounded_ring",   "rendezvous_p2c", "estimated_cost",
      "round_robin", "least_reported", "plain_hash"};
  return names;
}

std::unique_ptr<routing_policy> MakePolicy(
    const std::string& name, const failure_domain_id& domain,
    std::shared_ptr<const placement> table, std::uint64_t seed) {
  if (name.rfind("ring_cost", 0) == 0) {
    const std::string margin = name.substr(9);
    return std::make_unique<chooser_policy>(
        domain, std::move(table),
        margin.empty() ? load_table_settings{}.margin_deviations
                       : std::stod(margin));
  }
  return std::make_unique<table_policy>(name, domain, std::move(table), seed);
}

}  // namespace marjoramsill
