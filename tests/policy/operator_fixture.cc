#include "operator_fixture.h"

namespace marjoramsill {
namespace {

constexpr std::uint8_t kRootKey = 1;
constexpr std::uint8_t kClubsKey = 2;
constexpr std::uint8_t kModelsKey = 3;

std::string Team(const std::string& name, std::uint8_t key,
                 const std::string& owns, const std::string& not_after) {
  const public_key raw = PublicKeyOf(operator_fixture::Key(key)).value();
  return "  - name: " + name + "\n    owns: [" + owns +
         "]\n    keys:\n      - public_key: " + PublicKeyToText(raw) +
         "\n        not_after: " + not_after + "\n";
}

}  // namespace

secret_key operator_fixture::Key(std::uint8_t number) {
  secret_key key;
  key.fill(number);
  return key;
}

std::uint8_t operator_fixture::KeyNumber(const std::string& team) {
  if (team == "clubs") return kClubsKey;
  return team == "models" ? kModelsKey : kRootKey;
}

std::string operator_fixture::RootBytes() {
  return "# keys of the teams\nteams:\n" +
         Team("clubs", kClubsKey, "\"workspaces/*\"", "2026-12-31T00:00:00Z") +
         Team("models", kModelsKey, "\"models/*\", \"services/*\"",
              "2027-12-31T00:00:00Z");
}

std::string operator_fixture::Limits(std::uint64_t tokens_per_second) {
  return "tokens_per_second: " + std::to_string(tokens_per_second) +
         "\nconcurrent_requests: 4\n";
}

submission operator_fixture::Make(const std::string& team,
                                  const std::string& section,
                                  std::uint64_t base,
                                  const std::string& bytes) {
  submission submitted;
  if (++next_id_ == 0) ++id_block_;
  submitted.id[0] = next_id_;
  submitted.id[1] = id_block_;
  submitted.team = team_id(team);
  submitted.section = section_name(section);
  submitted.base = section_version(base);
  submitted.bytes = bytes;
  return MakeSignedBy(KeyNumber(team), submitted);
}

submission operator_fixture::MakeSignedBy(std::uint8_t key,
                                          submission unsigned_submission) {
  (void)Sign(Key(key), unsigned_submission);
  return unsigned_submission;
}

policy_command operator_fixture::Stamp(const submission& submitted) const {
  return {now, PublicKeyOf(Key(kRootKey)).value(), submitted};
}

submission_outcome operator_fixture::Submit(policy_state& state,
                                            const submission& submitted) {
  return state.Apply(EncodeCommand(Stamp(submitted))).value().outcome;
}

submission_outcome operator_fixture::Bootstrap(policy_state& state) {
  return Submit(state, Make("root", "teams/root", 0, RootBytes()));
}

}  // namespace marjoramsill
