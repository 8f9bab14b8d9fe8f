#include "sycamore/ctl/terminal.h"

#include <cstdio>

namespace sycamore::ctl {

static void
Write(std::FILE* aFile, std::string_view aText)
{
  std::fwrite(aText.data(), 1, aText.size(), aFile);
  std::fflush(aFile);
}

Terminal
ProcessTerminal()
{
  return { [](std::string_view aText) { Write(stdout, aText); },
           [](std::string_view aText) { Write(stderr, aText); } };
}

}
