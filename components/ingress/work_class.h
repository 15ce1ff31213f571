#ifndef COMPONENTS_INGRESS_WORK_CLASS_H_
#define COMPONENTS_INGRESS_WORK_CLASS_H_

#include <cstdint>
#include <string_view>

#include "components/config/rules.h"

namespace kingcupstair::ingress {

/// Returns the work class of a request to `service` by this route: a hash that
/// is equal on every host, and never 0. All methods that HTTP doesn't define
/// share a class, so that callers can't create classes.
uint64_t WorkClassOf(const config::RouteRule& route,
                     std::string_view service,
                     std::string_view method);

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_WORK_CLASS_H_
