#include "sycamore/table/record.h"

#include "json_fields.h"

#include <exception>
#include <fmt/format.h>

namespace sycamore::table {

static boost::json::value
ToJsonRecord(const EditRecord& aRecord)
{
  const Edit& edit = aRecord.mEdit;
  boost::json::object object{ { "kind", "edit" },
                              { "id", aRecord.mId },
                              { "read_through", aRecord.mReadThrough },
                              { "base_version", edit.mBaseVersion } };
  if (edit.mRow) {
    object.emplace("row", KeyToJson(*edit.mRow));
  }
  if (edit.mService) {
    object.emplace("service", *edit.mService);
  }
  if (edit.mContract) {
    object.emplace("contract", ContractToJson(*edit.mContract));
  }
  if (edit.mOrder) {
    object.emplace("order", OrderToJson(*edit.mOrder));
  }
  return object;
}

static boost::json::value
ToJsonRecord(const SnapshotRecord& aRecord)
{
  return { { "kind", "snapshot" },
           { "through", aRecord.mThrough },
           { "last_deletion", aRecord.mLastDeletion },
           { "table", TableToJson(aRecord.mTable) } };
}

static EditRecord
EditFromJson(const boost::json::object& aObject)
{
  EditRecord record;
  record.mId = StringMember(aObject, "id");
  record.mReadThrough = NumberMember(aObject, "read_through");
  Edit& edit = record.mEdit;
  edit.mBaseVersion = NumberMember(aObject, "base_version");
  if (const auto* row = aObject.if_contains("row")) {
    edit.mRow = KeyFromJson(row->as_object());
  }
  if (aObject.contains("service")) {
    edit.mService = StringMember(aObject, "service");
  }
  if (const auto* contract = aObject.if_contains("contract")) {
    edit.mContract = ContractFromJson(contract->as_object());
  }
  if (const auto* order = aObject.if_contains("order")) {
    edit.mOrder = OrderFromJson(order->as_object());
  }
  return record;
}

static SnapshotRecord
SnapshotFromJson(const boost::json::object& aObject)
{
  return { NumberMember(aObject, "through"),
           NumberMember(aObject, "last_deletion"),
           TableFromJson(aObject.at("table").as_object()) };
}

std::string
EncodeRecord(const Record& aRecord)
{
  return std::visit(
    [](const auto& aContent) { return boost::json::serialize(ToJsonRecord(aContent)); }, aRecord);
}

base::Result<Record>
DecodeRecord(std::string_view aText)
{
  const auto malformed = [](std::string_view aReason) {
    return base::Error{ base::ErrorKind::MalformedBody,
                        fmt::format("the text is no configuration record: {}", aReason),
                        "" };
  };
  try {
    const boost::json::value root = boost::json::parse(aText);
    const boost::json::object& object = root.as_object();
    const std::string kind = StringMember(object, "kind");
    if (kind == "edit") {
      return EditFromJson(object);
    }
    if (kind == "snapshot") {
      return SnapshotFromJson(object);
    }
    return malformed("unknown kind");
  } catch (const std::exception& error) {
    return malformed(error.what());
  }
}

}
