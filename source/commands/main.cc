#include "commands/command.h"
#include "platform/dialect.h"

int main(int argc, char** argv) {
  using namespace marjoramsill;  // NOLINT(google-build-using-namespace)
  return RunCommandLine(
      argc, argv,
      FleetCommands(platform::RequestDialect(), platform::ControlDialect()));
}
