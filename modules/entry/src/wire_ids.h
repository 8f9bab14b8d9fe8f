#pragma once

#include "sycamore/base/program_id.h"
#include "sycamore/wire/codec.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sycamore::entry {

// Conversions of program and call ids to and from their log and frame forms.
std::unique_ptr<wire::LogProgramT>
ToLog(const base::ProgramId& aId);

std::unique_ptr<wire::ProgramT>
ToFrame(const base::ProgramId& aId);

base::ProgramId
FromFrame(const wire::ProgramT& aProgram);

std::unique_ptr<wire::CallIdT>
ToCallId(const base::ProgramId& aId, uint32_t aSeq, const std::string& aKey);

base::ProgramId
ProgramOf(const wire::CallIdT& aCall);

}
