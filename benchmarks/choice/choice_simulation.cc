#include "choice_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fake_engine.h"
#include "routing_policy.h"
namespace marjoramsill {
namespace {

constexpr double kLoadMultiple = 1.25;
constexpr std::uint64_t kWorkspaces = 10;
constexpr std::uint32_t kWorkspaceTokens = 400;
constexpr std::uint32_t kMaxChatTokens = 6000;
constexpr double kChurnPeriodSeconds = 120;
constexpr double kOutageSeconds = 30;

steady_time TimeOf(double seconds) {
  return steady_time(
      std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
}

struct chat_state {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
  bool busy = false;
};

class choice_simulation {
 public:
  choice_simulation(const choice_scenario& scenario, const std::string& policy)
      : scenario_(scenario),
        ideal_(policy == "ideal"),
        random_(scenario.seed),
        delay_random_(scenario.seed + 1),
        engines_(scenario.endpoints),
        chats_(scenario.endpoints * scenario.chats_per_endpoint) {
    sent_.resize(scenario.endpoints);
    double sum = 0;
    for (std::size_t i = 0; i < chats_.size(); ++i) {
      chats_[i].id = next_chat_++;
      sum += 1.0 / std::pow(static_cast<double>(i + 1), scenario.zipf);
      popularity_.push_back(sum);
    }
    // Engines have different numbers of slots and speeds.
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i].slots = i % 3 == 2 ? 64 : 48;
      engines_[i].prefill_rate = i % 3 == 2 ? 12000 : 8000;
      slots_ += engines_[i].slots;
    }
    const auto table = MakeTable();
    for (std::size_t r = 0; r < scenario.routers && !ideal_; ++r) {
      routers_.push_back(
          MakePolicy(policy, Domain(r), table, scenario.seed * 1000 + r));
      tables_.push_back(table);
      members_.push_back(MembersUp());
    }
  }

  choice_figures Run() {
    end_ = scenario_.warm_up_seconds + scenario_.seconds;
    Schedule(0, [this] { StartRequest(); });
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      Schedule(Uniform(), [this, i] { Announce(i); });
    }
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      Schedule(Uniform() * 0.1, [this, r] { TickRouter(r); });
    }
    Schedule(kChurnPeriodSeconds / 2, [this] { Churn(); });
    while (!events_.empty()) {
      const auto next = events_.top();
      events_.pop();
      if (next.at > end_) break;
      now_ = next.at;
      next.run();
    }
    return figures_;
  }

 private:
  struct event {
    double at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void Schedule(double when, std::function<void()> run) {
    events_.push({when, next_event_++, std::move(run)});
  }
  // Delays use a separate generator, so that all policies get the same
  // arrivals.
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(delay_random_);
  }
  failure_domain_id Domain(std::size_t number) const {
    return failure_domain_id("d" + std::to_string(number % scenario_.domains));
  }

  std::shared_ptr<const placement> MakeTable() const {
    std::vector<placement_endpoint> endpoints;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (!engines_[i].is_up) continue;
      endpoints.push_back(
          {endpoint_id(std::to_string(i)), Domain(i), engines_[i].slots,
           static_cast<std::uint32_t>(engines_[i].prefill_rate), false});
    }
    return placement::Build(std::move(endpoints), 0);
  }

  // The mean service time consists of decoding and processing the uncached part
  // of the prompt.
  double ArrivalRate() const {
    const double service = 150 * fake_engine::kDecodeSeconds + 0.05;
    return scenario_.utilisation * static_cast<double>(slots_) / service;
  }

  void StartRequest() {
    std::exponential_distribution<double> gap(ArrivalRate());
    Schedule(now_ + gap(random_), [this] { StartRequest(); });
    std::uniform_real_distribution<double> pick(0, popularity_.back());
    const double point = pick(random_);
    const std::uint32_t new_tokens = 50 + random_() % 300;
    const std::uint32_t output = 50 + random_() % 200;
    const std::uint64_t router_choice = random_();
    const bool crosses_domain = std::uniform_real_distribution<double>(0, 1)(
                                    random_) < scenario_.cross_domain_fraction;
    std::size_t index = static_cast<std::size_t>(
        std::lower_bound(popularity_.begin(), popularity_.end(), point) -
        popularity_.begin());
    while (chats_[index].busy) index = (index * 31 + 7) % chats_.size();
    chat_state& chat = chats_[index];
    if (chat.tokens > kMaxChatTokens) chat = {next_chat_++, 0, false};
    engine_request request;
    request.chat = chat.id;
    request.workspace = (1ULL << 40) + index % kWorkspaces;
    request.workspace_tokens = kWorkspaceTokens;
    request.prompt_tokens =
        std::max(chat.tokens, kWorkspaceTokens) + new_tokens;
    request.output_tokens = output;
    request.serial = index;
    const std::size_t domain = crosses_domain ? router_choice >> 32 : index;
    request.router =
        static_cast<std::uint32_t>(RouterFor(domain, router_choice));
    chat.busy = true;
    chat.tokens = request.prompt_tokens + output;
    Send(request);
  }

  std::size_t RouterFor(std::size_t domain, std::uint64_t router_choice) const {
    const std::size_t first = domain % scenario_.domains;
    const std::size_t count =
        (scenario_.routers - first - 1) / scenario_.domains + 1;
    return first + router_choice % count * scenario_.domains;
  }

  void Send(const engine_request& request) {
    std::size_t chosen = 0;
    if (ideal_) {
      chosen = ChooseIdeal(request);
    } else {
      const auto& table = tables_[request.router];
      const endpoint_index index =
          routers_[request.router]->Choose(request, TimeOf(now_));
      routers_[request.router]->OnSent(request, index, TimeOf(now_));
      chosen = std::stoul(table->endpoints()[index].id.value());
    }
    Record(request, chosen);
    Schedule(now_ + 0.0005, [this, request, chosen] {
      fake_engine& engine = engines_[chosen];
      engine.waiting.push_back(request);
      engine.waiting.back().arrived = now_;
      StartWaiting(chosen);
    });
    ++sent_[chosen];
  }

  // Actual load, including requests in transit.
  std::uint32_t TrueLoad(std::size_t i) const { return sent_.at(i); }

  std::vector<std::size_t> MembersUp() const {
    std::vector<std::size_t> members;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].is_up) members.push_back(i);
    }
    return members;
  }

  std::uint64_t SlotsUp() const {
    std::uint64_t slots = 0;
    for (const fake_engine& engine : engines_) {
      if (engine.is_up) slots += engine.slots;
    }
    return slots;
  }

  double ShareOf(std::size_t i, std::uint64_t total,
                 std::uint64_t slots) const {
    return static_cast<double>(total) * engines_[i].slots /
           static_cast<double>(slots);
  }

  std::uint64_t TotalLoad() const {
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].is_up) total += TrueLoad(i);
    }
    return total;
  }

  std::size_t ChooseIdeal(const engine_request& request) {
    const std::uint64_t total = TotalLoad() + 1;
    const std::uint64_t slots = SlotsUp();
    std::size_t best = engines_.size();
    double best_rank = -1;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (!engines_[i].is_up) continue;
      if (TrueLoad(i) + 1 > std::ceil(kLoadMultiple * ShareOf(i, total, slots)))
        continue;
      const double rank =
          engines_[i].Cached(request) + 1.0 -
          static_cast<double>(TrueLoad(i)) / (1000.0 * engines_[i].slots);
      if (rank > best_rank) {
        best_rank = rank;
        best = i;
      }
    }
    return best;
  }

  // Share of the total actual load of the endpoints in the view of the router
  // that places the request. Endpoints that the router does not know yet are
  // not included.
  double LoadShareInView(const engine_request& request,
                         std::size_t chosen) const {
    if (ideal_) return ShareOf(chosen, TotalLoad() + 1, SlotsUp());
    std::uint64_t total = 1;
    std::uint64_t slots = 0;
    for (const std::size_t i : members_.at(request.router)) {
      total += TrueLoad(i);
      slots += engines_[i].slots;
    }
    return ShareOf(chosen, total, slots);
  }

  void Record(const engine_request& request, std::size_t chosen) {
    if (now_ < scenario_.warm_up_seconds || !engines_[chosen].is_up) return;
    const double share = LoadShareInView(request, chosen);
    const int load = static_cast<int>(TrueLoad(chosen)) + 1;
    const int over = load - static_cast<int>(std::ceil(kLoadMultiple * share));
    figures_.max_over_mean = std::max(figures_.max_over_mean, load / share);
    figures_.most_over_bound = std::max(figures_.most_over_bound, over);
    figures_.placements_over_bound += over > 0 ? 1 : 0;
    ++figures_.requests;
  }

  void StartWaiting(std::size_t engine_index) {
    fake_engine& engine = engines_[engine_index];
    while (engine.running < engine.slots && !engine.waiting.empty()) {
      const engine_request request = engine.waiting.front();
      engine.waiting.pop_front();
      ++engine.running;
      const std::uint32_t cached = engine.Cached(request);
      if (now_ >= scenario_.warm_up_seconds) {
        figures_.prompt_tokens += request.prompt_tokens;
        figures_.reused_tokens += cached;
      }
      const double prefill =
          (request.prompt_tokens - cached) / engine.prefill_rate;
      engine.cache.Store(request.workspace, request.workspace_tokens);
      engine.cache.Store(request.chat, request.prompt_tokens);
      Schedule(now_ + prefill, [this, engine_index, request] {
        Report(request.router, engine_index, now_);
      });
      Schedule(
          now_ + prefill + request.output_tokens * fake_engine::kDecodeSeconds,
          [this, engine_index, request] { Finish(engine_index, request); });
    }
  }

  void Finish(std::size_t engine_index, const engine_request& request) {
    fake_engine& engine = engines_[engine_index];
    --engine.running;
    --sent_[engine_index];
    if (engine.is_up) {
      engine.cache.Store(request.chat,
                         request.prompt_tokens + request.output_tokens);
    }
    chat_state& chat = chats_[request.serial];
    if (chat.id == request.chat) chat.busy = false;
    if (!ideal_) {
      const auto index = tables_[request.router]->IndexOf(
          endpoint_id(std::to_string(engine_index)));
      if (index.has_value()) {
        routers_[request.router]->OnFinished(*index, TimeOf(now_));
      }
    }
    StartWaiting(engine_index);
  }

  void Report(std::size_t router, std::size_t engine_index, double as_of) {
    if (ideal_) return;
    const std::uint32_t load = engines_[engine_index].load();
    Schedule(now_ + 0.0005, [this, router, engine_index, load, as_of] {
      const auto index =
          tables_[router]->IndexOf(endpoint_id(std::to_string(engine_index)));
      if (!index.has_value()) return;
      routers_[router]->OnReport(*index, load, TimeOf(as_of));
    });
  }

  // Heartbeats carry the announced load. With 6 VMs, it reaches all of them
  // within 0.7 s; with 33 VMs, it reaches those of the same failure domain
  // within 1 s.
  void Announce(std::size_t engine_index) {
    Schedule(now_ + 1.0, [this, engine_index] { Announce(engine_index); });
    if (!engines_[engine_index].is_up) return;
    const std::uint32_t load = engines_[engine_index].load();
    const double as_of = now_;
    const bool direct = scenario_.routers <= 12;
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      // A VM receives about one update per second from the VMs of other failure
      // domains.
      if (!direct && Domain(r) != Domain(engine_index) &&
          Uniform() * static_cast<double>(scenario_.routers) > 1.5) {
        continue;
      }
      Schedule(now_ + (direct ? 0.7 : 1.0) * Uniform(), [this, r, engine_index,
                                                         load, as_of] {
        const auto index =
            tables_[r]->IndexOf(endpoint_id(std::to_string(engine_index)));
        if (!index.has_value()) return;
        routers_[r]->OnReport(*index, load, TimeOf(as_of));
      });
    }
  }

  void TickRouter(std::size_t r) {
    Schedule(now_ + 0.1, [this, r] { TickRouter(r); });
    routers_[r]->Tick(TimeOf(now_));
  }

  void Churn() {
    Schedule(now_ + kChurnPeriodSeconds, [this] { Churn(); });
    const auto count = static_cast<std::size_t>(
        std::ceil(scenario_.churn * static_cast<double>(engines_.size())));
    for (std::size_t n = 0; n < count; ++n) {
      const std::size_t engine_index = next_churned_++ * 7 % engines_.size();
      engines_[engine_index].is_up = false;
      Schedule(now_ + kOutageSeconds, [this, engine_index] {
        engines_[engine_index].is_up = true;
        engines_[engine_index].cache.Clear();
        PublishViews();
      });
    }
    PublishViews();
  }

  // The routers receive the new view up to 2 s apart.
  void PublishViews() {
    const auto table = MakeTable();
    const auto members = MembersUp();
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      Schedule(now_ + 2.0 * Uniform(), [this, r, table, members] {
        routers_[r]->SetPlacement(table);
        tables_[r] = table;
        members_[r] = members;
        routers_[r]->Tick(TimeOf(now_));
      });
    }
  }

  choice_scenario scenario_;
  bool ideal_;
  std::mt19937_64 random_;
  std::mt19937_64 delay_random_;
  std::vector<fake_engine> engines_;
  std::vector<chat_state> chats_;
  std::vector<double> popularity_;
  std::vector<std::unique_ptr<routing_policy>> routers_;
  std::vector<std::shared_ptr<const placement>> tables_;
  std::vector<std::vector<std::size_t>> members_;
  std::vector<std::uint32_t> sent_;
  std::priority_queue<event> events_;
  std::uint64_t next_event_ = 0;
  std::uint64_t next_chat_ = 1;
  std::size_t next_churned_ = 1;
  std::uint64_t slots_ = 0;
  double now_ = 0;
  double end_ = 0;
  choice_figures figures_;
};

}  // namespace

choice_figures RunChoice(const choice_scenario& scenario,
                         const std::string& policy) {
  return choice_simulation(scenario, policy).Run();
}

}  // namespace marjoramsill
