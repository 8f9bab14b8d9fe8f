#include "stream_text.h"

#include "sycamore/testbed/json.h"

namespace sycamore::testbed {

static constexpr std::string_view kPrefix = "data: ";
static constexpr std::string_view kEnd = "\n\n";

std::vector<boost::json::object>
StreamChunks(std::string_view aBody)
{
  std::vector<boost::json::object> chunks;
  for (size_t end = aBody.find(kEnd); end != std::string_view::npos; end = aBody.find(kEnd)) {
    const std::string_view event = aBody.substr(0, end);
    aBody.remove_prefix(end + kEnd.size());
    if (!event.starts_with(kPrefix)) {
      continue;
    }
    auto chunk = ParseObject(event.substr(kPrefix.size()));
    if (base::IsOk(chunk)) {
      chunks.push_back(base::TakeValue(std::move(chunk)));
    }
  }
  return chunks;
}

std::string
StreamText(std::string_view aBody)
{
  std::string text;
  for (const boost::json::object& chunk : StreamChunks(aBody)) {
    for (const auto& choice : chunk.at("choices").as_array()) {
      text += TextField(choice.as_object().at("delta").as_object(), "content");
    }
  }
  return text;
}

}
