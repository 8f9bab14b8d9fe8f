#include "sycamore/testbed/answer_text.h"

#include "sycamore/base/random.h"
#include "sycamore/testbed/tokens.h"

#include <fmt/format.h>

namespace sycamore::testbed {

static constexpr std::string_view kFiller = " ok.";

std::string
AnswerText(std::string_view aProgram, size_t aMessages, uint64_t aDigest, uint64_t aTokens)
{
  std::string text =
    fmt::format("messages={} digest={:08x} program={}", aMessages, aDigest & 0xffffffffU, aProgram);
  const size_t bytes = aTokens * kBytesPerToken;
  while (text.size() < bytes) {
    text += kFiller;
  }
  text.resize(bytes);
  return text;
}

uint64_t
HistoryDigest(uint64_t aHistory, std::string_view aRole, std::string_view aContent)
{
  const uint64_t message = base::MixHash(base::StableHash(aRole), base::StableHash(aContent));
  return base::MixHash(aHistory, message);
}

}
