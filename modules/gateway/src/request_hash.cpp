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

RequestHash
HashOf(const CallerRequest& aRequest)
{
  RequestHash hash;
  for (const std::string_view part : { ToView(aRequest.method_string()),
                                       ToView(aRequest[boost::beast::http::field::host]),
                                       ToView(aRequest.target()) }) {
    hash.mPath = base::MixHash(hash.mPath, base::StableHash(part));
  }
  hash.mRequest = base::MixHash(hash.mPath, base::StableHash(aRequest.body()));
  return hash;
}

}
