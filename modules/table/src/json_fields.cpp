#include "json_fields.h"

#include <cmath>
#include <stdexcept>

namespace sycamore::table {

std::string
StringMember(const boost::json::object& aObject, std::string_view aKey)
{
  return std::string(aObject.at(aKey).as_string());
}

uint64_t
NumberMember(const boost::json::object& aObject, std::string_view aKey)
{
  return aObject.at(aKey).to_number<uint64_t>();
}

// Three decimals survive any JSON parser unchanged, so all readers hold the same number.
static double
RoundLimit(double aValue)
{
  return std::round(aValue * 1000) / 1000;
}

static double
LimitMember(const boost::json::object& aObject, std::string_view aKey)
{
  return RoundLimit(aObject.at(aKey).to_number<double>());
}

// Whole numbers are written as such; readers see 5 instead of 5E0.
static boost::json::value
LimitToJson(double aValue)
{
  constexpr double kMaxWhole = 1e15;
  const double value = RoundLimit(aValue);
  if (std::abs(value) <= kMaxWhole && std::floor(value) == value) {
    return static_cast<int64_t>(value);
  }
  return value;
}

boost::json::object
ContractToJson(const world::Contract& aContract)
{
  return { { "weight", LimitToJson(aContract.mWeight) },
           { "requests_per_s", LimitToJson(aContract.mRequestsPerSecond) },
           { "tokens_per_s", LimitToJson(aContract.mTokensPerSecond) },
           { "concurrency", aContract.mConcurrency } };
}

world::Contract
ContractFromJson(const boost::json::object& aObject)
{
  world::Contract contract;
  contract.mWeight = LimitMember(aObject, "weight");
  contract.mRequestsPerSecond = LimitMember(aObject, "requests_per_s");
  contract.mTokensPerSecond = LimitMember(aObject, "tokens_per_s");
  contract.mConcurrency = aObject.at("concurrency").to_number<uint32_t>();
  return contract;
}

boost::json::object
OrderToJson(const Order& aOrder)
{
  return { { "model", aOrder.mModel },
           { "adapter", aOrder.mAdapter },
           { "model_version", aOrder.mModelVersion },
           { "role", aOrder.mRole } };
}

Order
OrderFromJson(const boost::json::object& aObject)
{
  Order order;
  order.mModel = StringMember(aObject, "model");
  order.mAdapter = StringMember(aObject, "adapter");
  order.mModelVersion = StringMember(aObject, "model_version");
  order.mRole = StringMember(aObject, "role");
  return order;
}

boost::json::object
KeyToJson(const RowKey& aKey)
{
  return { { "account", aKey.mAccount }, { "region", aKey.mRegion }, { "model", aKey.mModel } };
}

RowKey
KeyFromJson(const boost::json::object& aObject)
{
  return { StringMember(aObject, "account"),
           StringMember(aObject, "region"),
           StringMember(aObject, "model") };
}

boost::json::object
TableToJson(const Table& aTable)
{
  boost::json::array rows;
  for (const auto& [key, row] : aTable.mRows) {
    boost::json::object object = KeyToJson(key);
    for (const auto& member : ContractToJson(row.mContract)) {
      object.insert(member);
    }
    object.emplace("version", row.mVersion);
    rows.push_back(std::move(object));
  }
  boost::json::array orders;
  for (const auto& [service, order] : aTable.mOrders) {
    boost::json::object object = OrderToJson(order);
    object.emplace("service", service);
    object.emplace("version", order.mVersion);
    orders.push_back(std::move(object));
  }
  return { { "version", aTable.mVersion },
           { "rows", std::move(rows) },
           { "orders", std::move(orders) } };
}

Table
TableFromJson(const boost::json::object& aObject)
{
  Table table;
  table.mVersion = NumberMember(aObject, "version");
  for (const auto& element : aObject.at("rows").as_array()) {
    const boost::json::object& object = element.as_object();
    const Row row{ ContractFromJson(object), NumberMember(object, "version") };
    if (!table.mRows.emplace(KeyFromJson(object), row).second) {
      throw std::invalid_argument("a row is named twice");
    }
  }
  for (const auto& element : aObject.at("orders").as_array()) {
    const boost::json::object& object = element.as_object();
    Order order = OrderFromJson(object);
    order.mVersion = NumberMember(object, "version");
    if (!table.mOrders.emplace(StringMember(object, "service"), std::move(order)).second) {
      throw std::invalid_argument("an order is named twice");
    }
  }
  return table;
}

}
