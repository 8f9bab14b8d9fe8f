#pragma once

#include "sycamore/table/table.h"

#include <boost/json.hpp>

namespace sycamore::table {

// Conversions between members and JSON. Those that read throw std::exception for a member that is
// missing or of another type.

boost::json::object
ContractToJson(const world::Contract& aContract);

// Rounds limits to thousandths.
world::Contract
ContractFromJson(const boost::json::object& aObject);

// Without mVersion.
boost::json::object
OrderToJson(const Order& aOrder);
Order
OrderFromJson(const boost::json::object& aObject);

boost::json::object
KeyToJson(const RowKey& aKey);
RowKey
KeyFromJson(const boost::json::object& aObject);

boost::json::object
TableToJson(const Table& aTable);
Table
TableFromJson(const boost::json::object& aObject);

std::string
StringMember(const boost::json::object& aObject, std::string_view aKey);
uint64_t
NumberMember(const boost::json::object& aObject, std::string_view aKey);

}
