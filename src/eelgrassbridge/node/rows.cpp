// Builds the names of the node's rows.
#include "eelgrassbridge/node/rows.hpp"

namespace eelgrassbridge::node {

RowName RangeMapRow(std::string_view service) {
  return {std::string(kFleetTable), std::string(service),
          std::string(kRangeMapKey)};
}

RowName MemberRow(std::string_view service, std::string_view address) {
  return {std::string(kFleetTable), std::string(service),
          std::string(kMemberPrefix).append(address)};
}

RowName OperatorVersionRow() {
  return {std::string(kFleetTable), {}, std::string(kOperatorVersionKey)};
}

RowName LeaseRow(std::string_view service, std::string_view address) {
  return {std::string(kLeaseTable), std::string(service), std::string(address)};
}

}  // namespace eelgrassbridge::node
