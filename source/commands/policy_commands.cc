#include <iostream>
#include <nlohmann/json.hpp>

#include "commands/command.h"
#include "commands/control_client.h"
#include "commands/file_text.h"
#include "process/daemon/steady_clock.h"
#include "version/line_difference.h"
#include "version/section_parser.h"
#include "version/submission.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;
using json = nlohmann::ordered_json;

exit_code Fail(const std::string& name, const std::string& reason,
               exit_code code) {
  std::cerr << "marjoramsill policy " << name << ": " << reason << "\n";
  return code;
}

std::string Text(const options::variables_map& values, const char* name) {
  return values[name].as<std::string>();
}

exit_code Check(const options::variables_map& values) {
  const std::string path = Text(values, "FILE");
  const auto bytes = ReadFileText(path);
  if (!bytes) return Fail("check", "cannot read " + path, exit_code::kFailure);
  const auto parsed =
      ParseSection(section_name(Text(values, "SECTION")), *bytes);
  if (!parsed) {
    return Fail("check", path + ": " + Describe(parsed.assume_error()),
                exit_code::kInvalid);
  }
  std::cout << path << " is a valid section\n";
  return exit_code::kSuccess;
}

/// Requests the section in force. The VM responds with status 404 if there is
/// none.
std::optional<control_response> FetchSection(
    const options::variables_map& values) {
  control_request request;
  request.address = Text(values, "control");
  request.target =
      "/v1/policy/section?name=" + EncodeQuery(Text(values, "SECTION"));
  return Fetch(request);
}

std::string VersionOf(const control_response& response) {
  const http_field* field = FindField(response.fields, "X-Section-Version");
  return field == nullptr ? "0" : field->value;
}

exit_code Get(const options::variables_map& values) {
  const auto response = FetchSection(values);
  if (!response) return exit_code::kUnavailable;
  if (response->status == 404) {
    return Fail("get", "no section " + Text(values, "SECTION"),
                exit_code::kFailure);
  }
  std::cout << response->body;
  std::cerr << "section_version=" << VersionOf(*response) << "\n";
  return exit_code::kSuccess;
}

exit_code Diff(const options::variables_map& values) {
  const std::string path = Text(values, "FILE");
  const auto bytes = ReadFileText(path);
  if (!bytes) return Fail("diff", "cannot read " + path, exit_code::kFailure);
  const auto response = FetchSection(values);
  if (!response) return exit_code::kUnavailable;
  const std::string current = response->status == 200 ? response->body : "";
  std::cout << LineDifference(current, *bytes);
  return exit_code::kSuccess;
}

exit_code History(const options::variables_map& values) {
  control_request request;
  request.address = Text(values, "control");
  request.target = "/v1/policy/sections";
  const auto response = Fetch(request);
  if (!response) return exit_code::kUnavailable;
  const json sections = json::parse(response->body, nullptr, false);
  if (!sections.is_array()) {
    return Fail("history", "the VM's response is not a JSON list",
                exit_code::kFailure);
  }
  if (values["json"].as<bool>()) {
    std::cout << response->body << "\n";
    return exit_code::kSuccess;
  }
  for (const json& section : sections) {
    std::cout << "document " << section.value("document", 0) << "  "
              << section.value("section", "") << " version "
              << section.value("version", 0) << " by "
              << section.value("team", "") << "\n";
  }
  return exit_code::kSuccess;
}

exit_code PrintOutcome(const control_response& response) {
  const json outcome = json::parse(response.body, nullptr, false);
  const std::string kind =
      outcome.is_object() ? outcome.value("outcome", "") : "";
  if (kind == "accepted") {
    std::cout << "accepted: document version " << outcome.value("document", 0)
              << ", section version " << outcome.value("version", 0) << "\n";
    return exit_code::kSuccess;
  }
  if (kind == "conflict") {
    std::cerr << "marjoramsill policy submit: conflict: the section is at "
                 "version "
              << outcome.value("version", 0)
              << "; merge its changes, then submit with --base "
              << outcome.value("version", 0) << "\n"
              << outcome.value("difference", "");
    return exit_code::kConflict;
  }
  const std::string detail = kind + ": " + outcome.value("detail", "");
  if (kind == "denied") return Fail("submit", detail, exit_code::kDenied);
  if (kind == "invalid" || kind == "duplicate id") {
    return Fail("submit", detail, exit_code::kInvalid);
  }
  return Fail("submit",
              "the control group cannot be reached; run the same command with "
              "--id " +
                  outcome.value("id", "") + " to query the outcome",
              exit_code::kUnavailable);
}

std::optional<submission_id> ParseId(const std::string& text) {
  submission_id id{};
  if (text.size() != id.size() * 2) return std::nullopt;
  for (std::size_t i = 0; i < id.size(); ++i) {
    const std::string pair = text.substr(i * 2, 2);
    char* end = nullptr;
    id.at(i) = static_cast<std::uint8_t>(std::strtoul(pair.c_str(), &end, 16));
    if (*end != '\0') return std::nullopt;
  }
  return id;
}

exit_code Submit(const options::variables_map& values) {
  const std::string path = Text(values, "FILE");
  const auto bytes = ReadFileText(path);
  if (!bytes) return Fail("submit", "cannot read " + path, exit_code::kFailure);
  const auto pem = ReadFileText(Text(values, "key"));
  const auto key = SecretKeyFromPem(pem.value_or(""));
  if (!key) {
    return Fail("submit",
                "--key: " + Text(values, "key") +
                    " is not an Ed25519 private key in PEM form",
                exit_code::kUsage);
  }
  submission proposed;
  proposed.id = MakeSubmissionId(SystemRandom());
  if (values.count("id") != 0) {
    const auto id = ParseId(Text(values, "id"));
    if (!id) {
      return Fail("submit", "--id: 32 hexadecimal digits are required",
                  exit_code::kUsage);
    }
    proposed.id = *id;
  }
  proposed.team = team_id(Text(values, "team"));
  proposed.section = section_name(Text(values, "SECTION"));
  proposed.base = section_version(values["base"].as<std::uint64_t>());
  proposed.bytes = *bytes;
  if (!Sign(key.assume_value(), proposed)) {
    return Fail("submit", "the section cannot be signed", exit_code::kFailure);
  }
  control_request request;
  request.method = "POST";
  request.address = Text(values, "control");
  request.target = "/v1/policy/submit";
  request.body = EncodeSubmission(proposed);
  request.timeout = std::chrono::seconds(15);
  const auto response = Fetch(request);
  if (!response) {
    return Fail("submit",
                "the outcome is unknown; run the same command with --id " +
                    SubmissionIdText(proposed.id) + " to query it",
                exit_code::kUnavailable);
  }
  return PrintOutcome(*response);
}

exit_code PublicKey(const options::variables_map& values) {
  const auto pem = ReadFileText(Text(values, "FILE"));
  const auto key = SecretKeyFromPem(pem.value_or(""));
  if (!key) {
    return Fail("key", Text(values, "FILE") + " is not an Ed25519 private key",
                exit_code::kFailure);
  }
  const auto derived = PublicKeyOf(key.assume_value());
  if (!derived) return Fail("key", "invalid private key", exit_code::kFailure);
  std::cout << PublicKeyToText(derived.assume_value()) << "\n";
  return exit_code::kSuccess;
}

void AddSubmitOptions(options::options_description& description) {
  AddControlOption(description);
  auto add = description.add_options();
  add("team", options::value<std::string>()->required(),
      "team that owns the section");
  add("key", options::value<std::string>()->required(),
      "file with the team's Ed25519 private key (PEM)");
  add("base", options::value<std::uint64_t>()->required(),
      "section version that the change is based on; 0 for a new section");
  add("id", options::value<std::string>(),
      "id of an earlier submission, to query its outcome");
}

void AddJson(options::options_description& description) {
  AddControlOption(description);
  description.add_options()("json", options::bool_switch(), "print JSON");
}

}  // namespace

std::vector<command> PolicyCommands() {
  return {
      {"policy check",
       "Check a section file against its schema",
       {"SECTION", "FILE"},
       nullptr,
       Check},
      {"policy get",
       "Print the accepted section",
       {"SECTION"},
       AddControlOption,
       Get},
      {"policy diff",
       "Compare a file with the section in force",
       {"SECTION", "FILE"},
       AddControlOption,
       Diff},
      {"policy submit",
       "Submit a section",
       {"SECTION", "FILE"},
       AddSubmitOptions,
       Submit},
      {"policy history",
       "List the sections by document version",
       {},
       AddJson,
       History},
      {"policy key",
       "Print the public key of a private key file",
       {"FILE"},
       nullptr,
       PublicKey},
  };
}

}  // namespace marjoramsill
