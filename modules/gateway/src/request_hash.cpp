#include "request_hash.h"

#include "sycamore/base/random.h"

#include <boost/beast/http/field.hpp>
#include <initializer_list>

namespace sycamore::gateway {

static std::string_view
ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

uint64_t
RequestHash(const CallerRequest& aRequest, std::string_view aCaller)
{
  uint64_t hash = 0;
  for (const std::string_view part : { aCaller,
                                       ToView(aRequest.method_string()),
                                       ToView(aRequest[boost::beast::http::field::host]),
                                       ToView(aRequest.target()),
                                       std::string_view(aRequest.body()) }) {
    hash = base::MixHash(hash, base::StableHash(part));
  }
  return hash;
}

}
