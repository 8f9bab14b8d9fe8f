#pragma once

namespace sycamore::http {

// Whether the socket aDescriptor is open at both ends and has received nothing: what is sent on it
// can be answered, and no bytes wait that belong to no request. Does not block.
bool
IsIdle(int aDescriptor);

}
