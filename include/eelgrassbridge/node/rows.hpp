// Names of the node's own rows in the store.
//
// All rows of a service are in one partition, so that a lease and the range map
// can change in one transaction. Leases have a separate table, because they are
// written every second and only planners read them, while every daemon follows
// the fleet table.
//
// The names of leases, range maps and recovery rows contain the era of the
// store. A transaction that was composed in a former era therefore never
// touches rows of the present one, although versions are given out again.
#ifndef EELGRASSBRIDGE_NODE_ROWS_HPP
#define EELGRASSBRIDGE_NODE_ROWS_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/node/row_store.hpp"

namespace eelgrassbridge::node {

inline constexpr std::string_view kFleetTable = "eelgrassbridge";
inline constexpr std::string_view kLeaseTable = "eelgrassbridge-leases";
inline constexpr std::string_view kRangeMapPrefix = "ranges/";
inline constexpr std::string_view kRecoveryPrefix = "recovery/";
inline constexpr std::string_view kMemberPrefix = "member/";
inline constexpr std::string_view kCrashPrefix = "crashes/";
/// Partition of the rows of the quota coordinator.
inline constexpr std::string_view kQuotaPartition = "eelgrassbridge-quota";
inline constexpr std::string_view kQuotaPrefix = "quota/";
/// Key of the row with the version of the latest change of the operator's rows,
/// and the era of the store in which it was made: "VERSION;ERA".
inline constexpr std::string_view kOperatorVersionKey = "operator-version";

RowName RangeMapRow(std::string_view service, std::uint64_t era);
RowName RecoveryRow(std::string_view service, std::uint64_t era);
RowName MemberRow(std::string_view service, std::string_view address);
/// @brief The row in which a daemon tells of crashes; see crash_record.hpp.
RowName CrashRow(std::string_view service, std::string_view address);
/// @brief The row in which relays announce changes of the operator's rows.
RowName OperatorVersionRow();
RowName LeaseRow(std::string_view service,
                 std::uint64_t era,
                 std::string_view address);
/// @brief The row that tells all daemons which one is the quota coordinator.
RowName QuotaCoordinatorRow(std::uint64_t era);
/// @brief The row that the quota coordinator renews; only candidates read it.
RowName QuotaLeaseRow(std::uint64_t era);
/// @brief Prefix of the keys of an era's lease rows.
std::string LeasePrefix(std::uint64_t era);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ROWS_HPP
