#include "sycamore/entry/entry_core.h"

#include "core_impl.h"

#include <utility>

namespace sycamore::entry {

EntryCore::EntryCore(const settings::Settings& aSettings,
                     Effects& aEffects,
                     uint64_t aIncarnation,
                     std::string aPeerAddress,
                     base::TimePoint aNow)
  : mImpl(std::make_unique<Impl>(
      Context{ aSettings, aEffects, aIncarnation, std::move(aPeerAddress), aNow, aNow, false, {} }))
{
}

EntryCore::~EntryCore() = default;

void
EntryCore::Handle(CoreEvent aEvent, base::TimePoint aNow)
{
  mImpl->Handle(std::move(aEvent), aNow);
}

bool
EntryCore::Drained() const
{
  return mImpl->Drained();
}

std::string
EntryCore::Dump() const
{
  return mImpl->Dump();
}

}
