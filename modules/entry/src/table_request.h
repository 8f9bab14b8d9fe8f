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

// Parses the body of DELETE: base_version. An empty body stands for the version 0.
base::Result<uint64_t>
ParseBaseVersion(std::string_view aBody);

// Undoes percent encoding; MalformedBody if it is invalid.
base::Result<std::string>
DecodePath(std::string_view aText);

}
