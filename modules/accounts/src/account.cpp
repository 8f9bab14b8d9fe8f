#include "sycamore/accounts/account.h"

#include "sycamore/base/random.h"

#include <algorithm>

namespace sycamore::accounts {

uint64_t
AccountId(std::string_view aName)
{
  return std::max(base::StableHash(aName), kNoAccount + 1);
}

}
