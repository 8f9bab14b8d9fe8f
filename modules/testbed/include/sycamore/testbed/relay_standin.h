#pragma once

#include "sycamore/testbed/relay.h"
#include "sycamore/testbed/standin.h"

#include <memory>
#include <string>
#include <vector>

namespace sycamore::testbed {

// The control interface of a relay.
class RelayStandin : public Standin
{
public:
  // aNames are the listening endpoints of the links of aRelay, in the order of the links.
  RelayStandin(std::shared_ptr<Relay> aRelay, std::vector<std::string> aNames);

  void OnRequest(const http::Request& aRequest, base::TimePoint aNow) override;
  base::Result<base::Unit> OnControl(const boost::json::object& aControl,
                                     base::TimePoint aNow) override;
  boost::json::object Stats(base::TimePoint aNow) const override;
  void ResetStats(base::TimePoint aNow) override;

private:
  std::vector<size_t> LinksNamed(const std::string& aName) const;
  base::Result<base::Unit> Apply(size_t aLink, const boost::json::object& aControl);

  std::shared_ptr<Relay> mRelay;
  std::vector<std::string> mNames;
};

}
