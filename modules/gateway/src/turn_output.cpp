#include "turn_output.h"

#include <utility>

namespace sycamore::gateway {

// Offset after the last empty line of aText, 0 if there is none.
static size_t
EndOfLastEvent(std::string_view aText)
{
  const size_t plain = aText.rfind("\n\n");
  const size_t carriage = aText.rfind("\n\r\n");
  const size_t afterPlain = plain == std::string_view::npos ? 0 : plain + 2;
  const size_t afterCarriage = carriage == std::string_view::npos ? 0 : carriage + 3;
  return std::max(afterPlain, afterCarriage);
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
