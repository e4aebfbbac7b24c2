// Measures the size and restore time of a document with 45,000 workspaces after
// 1,000 changes. Checked are the design's limit of 64 MB for control and the
// counts; times are only printed, because CI does not bound wall time.
#include <malloc.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>

#include "process/control/held_document.h"
#include "process/control/policy_state.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kWorkspaces = 45'000;
constexpr std::size_t kChanges = 1000;
constexpr std::size_t kMaximumBytes = 64'000'000;

std::size_t HeapBytes() { return mallinfo2().uordblks; }

double SecondsSince(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
}

std::string WorkspaceBytes(std::size_t number) {
  return "# limits agreed with the customer\ntokens_per_second: " +
         std::to_string(1000 + number) +
         "\nconcurrent_requests: 20\nweight: 2\n"
         "ranks: [urgent, standard, background]\ndefault_rank: standard\n";
}

secret_key Key(std::uint8_t number) {
  secret_key key;
  key.fill(number);
  return key;
}

class fixture {
 public:
  // Signatures are not checked here, because 46,000 checks would take most of
  // the run; the line `signature_checks` shows their cost.
  fixture()
      : state_([](const public_key&, std::string_view, const signature&) {
          return true;
        }) {
    Submit("root", "teams/root", 0,
           "teams:\n  - name: clubs\n    owns: [\"workspaces/*\"]\n    keys:\n"
           "      - public_key: " +
               PublicKeyToText(PublicKeyOf(Key(2)).value()) +
               "\n        not_after: 2099-01-01T00:00:00Z\n");
  }

  outcome_kind Submit(const std::string& team, const std::string& section,
                      std::uint64_t base, const std::string& bytes) {
    submission created;
    const std::uint64_t id = ++next_;
    for (std::size_t i = 0; i < 8; ++i) {
      created.id.at(i) = static_cast<std::uint8_t>(id >> (8 * i));
    }
    created.team = team_id(team);
    created.section = section_name(section);
    created.base = section_version(base);
    created.bytes = bytes;
    const policy_command command{wall_time(std::chrono::hours(500'000)),
                                 PublicKeyOf(Key(1)).value(), created};
    return state_.Apply(EncodeCommand(command)).value().outcome.kind;
  }

  bool Fill() {
    bool accepted = true;
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      accepted &= Submit("clubs", "workspaces/club-" + std::to_string(i), 0,
                         WorkspaceBytes(i)) == outcome_kind::kAccepted;
    }
    for (std::size_t i = 0; i < kChanges; ++i) {
      accepted &= Submit("clubs", "workspaces/club-" + std::to_string(i), i + 2,
                         WorkspaceBytes(i + 7)) == outcome_kind::kAccepted;
    }
    return accepted;
  }

  policy_state& state() { return state_; }

 private:
  policy_state state_;
  std::uint64_t next_ = 0;
};

bool SameDocuments(const policy_document& a, const policy_document& b) {
  if (a.version() != b.version() || a.size() != b.size()) return false;
  for (const auto& [version, record] : a.by_version()) {
    const section_ptr other = b.Find(record->name);
    if (other == nullptr || *other != *record) return false;
  }
  return true;
}

void PrintSignatureCost() {
  constexpr int kRounds = 500;
  const public_key key = PublicKeyOf(Key(1)).value();
  const std::string bytes = WorkspaceBytes(1);
  const signature created = SignEd25519(Key(1), bytes).value();
  const auto begin = std::chrono::steady_clock::now();
  int valid = 0;
  for (int i = 0; i < kRounds; ++i) valid += VerifyEd25519(key, bytes, created);
  std::cout << "signature_checks=" << valid
            << " microseconds_each=" << SecondsSince(begin) * 1e6 / kRounds
            << "\n";
}

bool Run() {
  const std::size_t before = HeapBytes();
  auto source = std::make_unique<fixture>();
  bool passed = source->Fill();
  const std::size_t state_bytes = HeapBytes() - before;
  const std::string snapshot = source->state().Snapshot();

  auto begin = std::chrono::steady_clock::now();
  policy_state restored;
  passed &= restored.Restore(snapshot).has_value();
  const double restore_s = SecondsSince(begin);
  passed &= SameDocuments(source->state().document(), restored.document());
  passed &= restored.Snapshot() == snapshot;
  source.reset();

  begin = std::chrono::steady_clock::now();
  const std::size_t before_held = HeapBytes();
  held_document held(restored.document());
  const auto compiled = held.Snapshot();
  const double compile_s = SecondsSince(begin);
  const std::size_t held_bytes = HeapBytes() - before_held;
  const std::size_t table_bytes = compiled->workspaces().MemoryBytes();
  passed &= compiled->workspaces().size() == kWorkspaces;

  std::cout << "workspaces=" << kWorkspaces << " changes=" << kChanges
            << " snapshot_bytes=" << snapshot.size()
            << " policy_state_heap_bytes=" << state_bytes
            << " follower_heap_bytes=" << held_bytes
            << " compiled_bytes_per_workspace=" << table_bytes / kWorkspaces
            << " restore_s=" << restore_s << " compile_s=" << compile_s << "\n";
  PrintSignatureCost();
  return passed && state_bytes + held_bytes <= kMaximumBytes;
}

}  // namespace
}  // namespace marjoramsill

int main() {
  const bool passed = marjoramsill::Run();
  std::cout << "result=" << (passed ? "passed" : "failed") << "\n";
  return passed ? 0 : 1;
}
