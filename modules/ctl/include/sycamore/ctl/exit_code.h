#pragma once

namespace sycamore::ctl {

// Exit status of sycamorectl; docs/OPERATIONS.md lists them.
enum class ExitCode : int
{
  Ok = 0,
  Refused = 1,        // The system answered with an error; the request was not run.
  Usage = 2,          // Invalid arguments, or an invalid file named by them. Nothing was sent.
  Unreachable = 3,    // No entry could be reached. Nothing was run.
  Conflict = 4,       // The base version of a table edit is not the current one.
  OutcomeUnknown = 5, // The request may have been run; the message says what to do.
};

}
