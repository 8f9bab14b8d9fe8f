#include "sycamore/testbed/binaries.h"

namespace sycamore::testbed {

static const std::filesystem::path kModules = std::filesystem::path(SYCAMORE_BUILD_DIR) / "modules";

std::filesystem::path
StandinProgram()
{
  return kModules / "testbed" / "standin";
}

std::filesystem::path
DaemonProgram()
{
  return kModules / "daemon" / "sycamoreleverd";
}

}
