#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamore::testbed {

// The answer of the engine stand-in: a function of the request alone, so that a test detects a lost
// or mixed history. The text "messages=<n> digest=<8 hex digits> program=<program>" is followed by
// filler up to, or cut to, aTokens tokens. aDigest is HistoryDigest of the request's messages.
std::string
AnswerText(std::string_view aProgram, size_t aMessages, uint64_t aDigest, uint64_t aTokens);

// Extends the digest of a history by one message; the digest of an empty history is 0.
uint64_t
HistoryDigest(uint64_t aHistory, std::string_view aRole, std::string_view aContent);

}
