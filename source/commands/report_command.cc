#include <fstream>
#include <iostream>

#include "commands/command.h"
#include "commands/control_client.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;

exit_code Report(const options::variables_map& values) {
  const std::string format = values["format"].as<std::string>();
  if (format != "text" && format != "json" && format != "html") {
    std::cerr << "marjoramsill report burn: --format: found \"" << format
              << "\", allowed are text, json and html\n";
    return exit_code::kUsage;
  }
  control_request request;
  request.address = values["control"].as<std::string>();
  request.target = "/v1/report/burn?format=" + format;
  const auto response = Fetch(request);
  if (!response) return exit_code::kUnavailable;
  if (response->status != 200) {
    std::cerr << "marjoramsill report burn: the VM responded with status "
              << response->status << "\n";
    return exit_code::kFailure;
  }
  const std::string path = values["out"].as<std::string>();
  if (path == "-") {
    std::cout << response->body;
    return exit_code::kSuccess;
  }
  std::ofstream file(path, std::ios::binary);
  file << response->body;
  file.close();
  if (!file) {
    std::cerr << "marjoramsill report burn: cannot write " << path << "\n";
    return exit_code::kFailure;
  }
  return exit_code::kSuccess;
}

}  // namespace

command ReportBurnCommand() {
  command report;
  report.name = "report burn";
  report.summary = "Report the error budget burn of all reachable VMs";
  report.options = [](options::options_description& description) {
    AddControlOption(description);
    auto add = description.add_options();
    add("format", options::value<std::string>()->default_value("text"),
        "text, json or html");
    add("out", options::value<std::string>()->default_value("-"),
        "file to write, - for standard output");
  };
  report.run = Report;
  return report;
}

}  // namespace marjoramsill
