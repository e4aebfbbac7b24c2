#include "commands/command.h"

int main(int argc, char** argv) {
  return marjoramsill::RunCommandLine(argc, argv);
}
