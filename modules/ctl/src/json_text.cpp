#include "json_text.h"

namespace sycamore::ctl {

static void
Append(const boost::json::value& aValue, size_t aDepth, std::string& aOut);

static void
NewLine(size_t aDepth, std::string& aOut)
{
  aOut += '\n';
  aOut.append(2 * aDepth, ' ');
}

static void
AppendObject(const boost::json::object& aObject, size_t aDepth, std::string& aOut)
{
  aOut += '{';
  const char* separator = "";
  for (const auto& member : aObject) {
    aOut += separator;
    separator = ",";
    NewLine(aDepth + 1, aOut);
    aOut += boost::json::serialize(boost::json::string(member.key()));
    aOut += ": ";
    Append(member.value(), aDepth + 1, aOut);
  }
  NewLine(aDepth, aOut);
  aOut += '}';
}

static void
AppendArray(const boost::json::array& aArray, size_t aDepth, std::string& aOut)
{
  aOut += '[';
  const char* separator = "";
  for (const auto& element : aArray) {
    aOut += separator;
    separator = ",";
    NewLine(aDepth + 1, aOut);
    Append(element, aDepth + 1, aOut);
  }
  NewLine(aDepth, aOut);
  aOut += ']';
}

static void
Append(const boost::json::value& aValue, size_t aDepth, std::string& aOut)
{
  if (aValue.is_object() && !aValue.get_object().empty()) {
    AppendObject(aValue.get_object(), aDepth, aOut);
  } else if (aValue.is_array() && !aValue.get_array().empty()) {
    AppendArray(aValue.get_array(), aDepth, aOut);
  } else {
    aOut += boost::json::serialize(aValue);
  }
}

std::string
PrettyJson(const boost::json::value& aValue)
{
  std::string text;
  Append(aValue, 0, text);
  return text + '\n';
}

std::string
PrettyJsonText(std::string_view aText)
{
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(aText, error);
  return error ? std::string(aText) + '\n' : PrettyJson(value);
}

}
