#include "sycamore/testbed/temporary_directory.h"

#include "sycamore/base/random.h"

#include <fmt/format.h>
#include <system_error>

namespace sycamore::testbed {

TemporaryDirectory::TemporaryDirectory()
  : mPath(std::filesystem::temp_directory_path() /
          fmt::format("sycamorelever-{:016x}", base::RandomId()))
{
  std::filesystem::create_directory(mPath);
}

TemporaryDirectory::~TemporaryDirectory()
{
  std::error_code ignored;
  std::filesystem::remove_all(mPath, ignored);
}

}
