#include "sycamore/ctl/command.h"

int
main(int argc, char** argv)
{
  using namespace sycamore;
  return static_cast<int>(ctl::Main(argc, argv, ctl::ProcessTerminal()));
}
