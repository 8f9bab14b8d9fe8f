#pragma once

#include "sycamore/base/result.h"
#include "sycamore/table/edit.h"
#include "sycamore/table/table.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace sycamore::table {

// A requested change in the config stream.
struct EditRecord
{
  std::string mId;           // Unique; the same in every copy of one edit.
  uint64_t mReadThrough = 0; // The editor had read all records below this offset.
  Edit mEdit;
};

// The folded state of all records below mThrough, for readers that start after retention dropped
// them.
struct SnapshotRecord
{
  uint64_t mThrough = 0;
  uint64_t mLastDeletion = 0; // Version of the last accepted deletion; 0 if none.
  Table mTable;
};

using Record = std::variant<EditRecord, SnapshotRecord>;

// JSON text of a record of the config stream.
std::string
EncodeRecord(const Record& aRecord);

// ErrorKind::MalformedBody if aText is no record. Limits are rounded to thousandths, which every
// reader parses to the same number, with any JSON parser.
base::Result<Record>
DecodeRecord(std::string_view aText);

}
