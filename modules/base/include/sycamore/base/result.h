#pragma once

#include "sycamore/base/error.h"

#include <cassert>
#include <utility>
#include <variant>

namespace sycamore::base {

// A value or an error.
template<typename T>
using Result = std::variant<T, Error>;

// The value of operations that return nothing.
using Unit = std::monostate;

template<typename T>
bool
IsOk(const Result<T>& aResult)
{
  return aResult.index() == 0;
}

// Requires IsOk(aResult).
template<typename T>
const T&
ValueOf(const Result<T>& aResult)
{
  assert(IsOk(aResult));
  return std::get<0>(aResult);
}

// Requires IsOk(aResult); moves the value out.
template<typename T>
T
TakeValue(Result<T>&& aResult)
{
  assert(IsOk(aResult));
  return std::get<0>(std::move(aResult));
}

// Requires !IsOk(aResult).
template<typename T>
const Error&
ErrorOf(const Result<T>& aResult)
{
  assert(!IsOk(aResult));
  return std::get<1>(aResult);
}

}
