#pragma once

#include <functional>
#include <string_view>

namespace sycamore::ctl {

// Where a command writes; both write the text as it is.
struct Terminal
{
  std::function<void(std::string_view)> mOut;
  std::function<void(std::string_view)> mErr;
};

// Standard output and standard error, unbuffered.
Terminal
ProcessTerminal();

}
