// Names of the node's own rows in the store.
//
// All rows of a service lie in one partition, so that a lease and the map of
// ranges change together. Leases have a table of their own: they are written
// every second, and only planners read them, while each daemon follows the
// other table.
#ifndef EELGRASSBRIDGE_NODE_ROWS_HPP
#define EELGRASSBRIDGE_NODE_ROWS_HPP

#include <string>
#include <string_view>

#include "eelgrassbridge/node/row_store.hpp"

namespace eelgrassbridge::node {

inline constexpr std::string_view kFleetTable = "eelgrassbridge";
inline constexpr std::string_view kLeaseTable = "eelgrassbridge-leases";
inline constexpr std::string_view kMapKey = "ranges";
inline constexpr std::string_view kMemberPrefix = "member/";

RowName MapRow(std::string_view service);
RowName MemberRow(std::string_view service, std::string_view address);
RowName LeaseRow(std::string_view service, std::string_view address);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ROWS_HPP
