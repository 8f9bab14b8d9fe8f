#pragma once

#include <string>

namespace sycamore::testbed {

// An address in 127.0.0.0/8 that no other living process gets from this function, different from
// call to call. With fixed ports below the range of outgoing connections on it, a restarted process
// finds its port free; a port probed on 127.0.0.1 may be taken by an outgoing connection meanwhile.
std::string
LoopbackAddress();

}
