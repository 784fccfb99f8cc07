// Joins the lease renewals of several daemons into one transaction of the
// store, and tells each of them the outcome. Decisions on plain data.
#ifndef EELGRASSBRIDGE_NODE_RENEWAL_BATCH_HPP
#define EELGRASSBRIDGE_NODE_RENEWAL_BATCH_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/node/row_store.hpp"

namespace eelgrassbridge::node {

/// @brief Renewal of one lease: replaces the lease row if it still has the
/// version.
struct Renewal {
  RowName row;
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const Renewal&) const = default;
};

/// @brief Indices of the renewals for the next transaction, in order: those of
/// the same partition as the first, one for each row, as many as the store
/// accepts in one call.
std::vector<std::size_t> ChooseBatch(std::span<const Renewal> waiting);

/// @brief The transaction of a batch. It is atomic, so it changes no lease if
/// the condition of one does not hold.
RowTransaction JoinRenewals(std::span<const Renewal> batch);

/// @brief The current row of a renewal among those that the store returned for
/// a refused batch; version 0 if the row does not exist.
StoredRow CurrentRowOf(const Renewal& renewal, std::span<const StoredRow> rows);

/// @brief Pause after a failed renewal. While much time is left, fewer attempts
/// are made, because during an outage of the store all owners make them.
/// @param left Time until the right under the lease ends.
base::Duration RenewRetryPause(base::Duration left);

/// @brief Whether a renewal may wait for a batch: enough time has to be left
/// for a renewal of the daemon's own if the batch fails.
bool MayJoinBatch(base::Duration left);

/// @brief Encodes a renewal as CBOR.
std::string EncodeRenewal(const Renewal& renewal);
/// @brief Decodes a renewal; fails with kFrameInvalid if it is malformed.
base::Result<Renewal> DecodeRenewal(std::string_view text);

/// @brief Encodes the outcome of a renewal as CBOR.
std::string EncodeOutcome(const CommitResult& outcome);
/// @brief Decodes an outcome; fails with kFrameInvalid if it is malformed.
base::Result<CommitResult> DecodeOutcome(std::string_view text);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_RENEWAL_BATCH_HPP
