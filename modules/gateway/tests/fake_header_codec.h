#pragma once

#include "sycamore/gateway/header_codec.h"

#include <string>

namespace sycamore::gateway {

// A codec that knows only the line of an event that announces new weights: "version: NUMBER".
class FakeHeaderCodec : public HeaderCodec
{
public:
  CallHead DecodeCall(const Fields& /*aFields*/) const override { return {}; }
  std::optional<std::string> TakeApiKey(Fields& /*aFields*/) const override { return {}; }
  void PrepareForReplica(Fields& /*aFields*/, const ReplicaCall& /*aCall*/) const override {}
  AnswerHead DecodeAnswer(const boost::beast::http::response_header<>& /*aHeader*/) const override
  {
    return {};
  }
  std::optional<uint64_t> DecodeWeightVersion(std::string_view aLine) const override
  {
    constexpr std::string_view kName = "version: ";
    return aLine.starts_with(kName)
             ? std::optional<uint64_t>(std::stoull(std::string(aLine.substr(kName.size()))))
             : std::nullopt;
  }
  std::string_view ReadinessPath() const override { return "/"; }
};

}
