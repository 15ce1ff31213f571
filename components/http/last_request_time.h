#ifndef COMPONENTS_HTTP_LAST_REQUEST_TIME_H_
#define COMPONENTS_HTTP_LAST_REQUEST_TIME_H_

#include "components/base/time.h"

namespace kingcupstair::http {

/// Once a server accepts no new connections, a request that was sent before
/// then arrives in this time.
inline constexpr Duration kLastRequestTime{std::chrono::milliseconds(200)};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_LAST_REQUEST_TIME_H_
