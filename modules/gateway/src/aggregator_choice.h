#pragma once

#include "member.h"
#include "sycamore/gateway/log_store.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::gateway {

// The instances of aDomain that should aggregate the calls of their failure domain on aStream, the
// preferred one first, aCount at most. Weighted rendezvous hashing: all gateways that know the same
// members agree, a member is preferred in proportion to its bandwidth, and a change of one member
// moves only the partitions that it had or gets.
std::vector<std::string>
RankAggregators(const std::vector<Member>& aMembers,
                std::string_view aDomain,
                StreamId aStream,
                size_t aCount);

}
