#pragma once

#include "stream_reader.h"

#include "sycamore/base/clock.h"
#include "sycamore/table/edit.h"

#include <functional>

namespace sycamore::table {

// Appends edits and finds out what became of them. Belongs to the thread of its reader.
class Editor
{
public:
  // aStopping ends waiting early.
  Editor(StreamReader& aReader, std::function<bool()> aStopping);

  // Returns the new version; errors as for EditDone.
  base::Result<uint64_t> Apply(const Edit& aEdit);

private:
  base::Result<FoldedRecord> AppendAndReadBack(const Edit& aEdit, base::TimePoint aDeadline);
  bool Ended(base::TimePoint aDeadline) const;

  StreamReader& mReader;
  std::function<bool()> mStopping;
};

}
