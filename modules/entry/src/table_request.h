#pragma once

#include "sycamore/base/result.h"
#include "sycamore/table/table_service.h"

#include <string>
#include <string_view>

namespace sycamore::entry {

// Parses the body of PUT on a row: the limits and base_version.
base::Result<table::Edit>
ParseRowEdit(const table::RowKey& aKey, std::string_view aBody);

// Parses the body of PUT on an order.
base::Result<table::Edit>
ParseOrderEdit(const std::string& aService, std::string_view aBody);

// Parses the body of DELETE: base_version. An empty body is read as {}, which
// lacks base_version and so gives InvalidEdit.
base::Result<uint64_t>
ParseBaseVersion(std::string_view aBody);

// Decodes percent encoding; InvalidField if it is malformed.
base::Result<std::string>
DecodePath(std::string_view aText);

}
