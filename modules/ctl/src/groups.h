#pragma once

#include "sycamore/ctl/command.h"

#include <vector>

namespace sycamore::ctl {

// The commands of each group.
std::vector<Command>
ProgramCommands();
std::vector<Command>
CallCommands();
std::vector<Command>
TableCommands();
std::vector<Command>
LocalCommands();
std::vector<Command>
BenchCommands();
std::vector<Command>
CapacityCommands();

}
