// Entry point of the one binary.
#include <cstdio>

#include "eelgrassbridge/base/error.hpp"

int main() {
  std::puts("eelgrassbridge 0.1.0");
  return 0;
}
