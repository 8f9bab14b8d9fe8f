#include "turn_output.h"

#include <utility>

namespace sycamore::gateway {

// Offset after the last empty line of aText, 0 if there is none.
static size_t
EndOfLastEvent(std::string_view aText)
{
  const size_t lf = aText.rfind("\n\n");
  const size_t crlf = aText.rfind("\n\r\n");
  const size_t afterLf = lf == std::string_view::npos ? 0 : lf + 2;
  const size_t afterCrlf = crlf == std::string_view::npos ? 0 : crlf + 3;
  return std::max(afterLf, afterCrlf);
}

std::string
TurnOutput::Add(std::string_view aBytes)
{
  mRest += aBytes;
  std::string whole = mRest.substr(0, EndOfLastEvent(mRest));
  mRest.erase(0, whole.size());
  mParser.Feed(whole, [this](const client::ServerEvent& aEvent) {
    ++mEventCount;
    mHistory += aEvent.mData;
    mHistory += '\n';
  });
  return whole;
}

std::string
TurnOutput::TakeRest()
{
  return std::exchange(mRest, {});
}

}
