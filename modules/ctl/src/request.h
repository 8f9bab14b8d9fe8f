#pragma once

#include "sycamore/client/entries.h"
#include "sycamore/ctl/command.h"

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::ctl {

// The entries named by --entry; prints the fault and returns nothing if the flag is faulty.
std::optional<client::Entries>
EntriesOfFlags(const Terminal& aTerminal);

http::ClientRequest
Get(std::string aTarget);
http::ClientRequest
Send(std::string aMethod, std::string aTarget, const boost::json::object& aBody);

// Prints aFailure and what the user can do about it; returns its exit code.
ExitCode
Report(const client::Failure& aFailure, const Terminal& aTerminal);

// Performs aRequest and prints the body of the answer, or the failure.
ExitCode
PerformAndPrint(const http::ClientRequest& aRequest,
                client::Resend aResend,
                const Terminal& aTerminal);

// Prints "sycamorectl: MESSAGE" and returns ExitCode::Usage.
ExitCode
UsageError(const Terminal& aTerminal, std::string_view aMessage);

// The content of a file; prints the fault and returns nothing if it cannot be read.
std::optional<std::string>
ReadFile(const std::string& aPath, const Terminal& aTerminal);

// Writes aText to a file; prints the fault and returns false if that fails.
bool
WriteFile(const std::string& aPath, std::string_view aText, const Terminal& aTerminal);

// Percent-encodes a path segment.
std::string
EncodeSegment(std::string_view aText);

}
