#pragma once

#include <functional>
#include <string_view>

namespace sycamore::ctl {

// Output of a command; both functions write the text unchanged.
struct Terminal
{
  std::function<void(std::string_view)> mOut;
  std::function<void(std::string_view)> mErr;
};

// Standard output and standard error, unbuffered.
Terminal
ProcessTerminal();

}
