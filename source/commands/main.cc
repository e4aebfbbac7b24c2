#include <iostream>

int main() {
  std::cout << "marjoramsill 0.1.0\n";
  return 0;
}
