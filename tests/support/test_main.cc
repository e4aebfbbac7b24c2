#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

// Runs all registered tests, or only the one named by the first argument.
int main(int argc, char** argv) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  // A run without tests is a failure, since it checks nothing.
  const bool passed = collector.wasSuccessful() && collector.runTests() > 0;
  return passed ? 0 : 1;
}
