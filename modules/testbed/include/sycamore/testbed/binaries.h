#pragma once

#include <filesystem>

namespace sycamore::testbed {

// Programs of the build that the fixtures belong to.
std::filesystem::path
StandinProgram();

std::filesystem::path
DaemonProgram();

}
