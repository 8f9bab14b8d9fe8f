#pragma once

#include <filesystem>

namespace sycamore::testbed {

// A new directory that is removed with its content at the end of the object's life.
class TemporaryDirectory
{
public:
  // Throws std::filesystem::filesystem_error if the directory cannot be made.
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  const std::filesystem::path& Path() const { return mPath; }

private:
  std::filesystem::path mPath;
};

}
