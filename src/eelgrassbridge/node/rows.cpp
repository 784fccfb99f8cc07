// Builds the names of the node's rows.
#include "eelgrassbridge/node/rows.hpp"

namespace eelgrassbridge::node {

RowName RangeMapRow(std::string_view service, std::uint64_t era) {
  return {std::string(kFleetTable), std::string(service),
          std::string(kRangeMapPrefix) + std::to_string(era)};
}

RowName RecoveryRow(std::string_view service, std::uint64_t era) {
  return {std::string(kFleetTable), std::string(service),
          std::string(kRecoveryPrefix) + std::to_string(era)};
}

RowName MemberRow(std::string_view service, std::string_view address) {
  return {std::string(kFleetTable), std::string(service),
          std::string(kMemberPrefix).append(address)};
}

RowName CrashRow(std::string_view service, std::string_view address) {
  return {std::string(kFleetTable), std::string(service),
          std::string(kCrashPrefix).append(address)};
}

RowName OperatorVersionRow() {
  return {std::string(kFleetTable), {}, std::string(kOperatorVersionKey)};
}

RowName LeaseRow(std::string_view service,
                 std::uint64_t era,
                 std::string_view address) {
  return {std::string(kLeaseTable), std::string(service),
          LeasePrefix(era).append(address)};
}

RowName QuotaCoordinatorRow(std::uint64_t era) {
  return {std::string(kFleetTable), std::string(kQuotaPartition),
          std::string(kQuotaPrefix) + std::to_string(era)};
}

RowName QuotaLeaseRow(std::uint64_t era) {
  return {std::string(kLeaseTable), std::string(kQuotaPartition),
          LeasePrefix(era) + "coordinator"};
}

std::string LeasePrefix(std::uint64_t era) {
  return std::to_string(era) + "/";
}

}  // namespace eelgrassbridge::node
