// Reports of daemons to the quota coordinator and its answers, as JSON. Numbers
// are in millionths, and the values of an account are in an array, because the
// coordinator gets several hundred reports a second.
#ifndef EELGRASSBRIDGE_NODE_QUOTA_MESSAGES_HPP
#define EELGRASSBRIDGE_NODE_QUOTA_MESSAGES_HPP

#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/limits/quota_ledger.hpp"

namespace eelgrassbridge::node {

std::string EncodeQuotaReport(const limits::QuotaReport& report);
/// @brief Fails with kFrameInvalid if a value is missing or out of its range.
base::Result<limits::QuotaReport> DecodeQuotaReport(std::string_view text);

std::string EncodeQuotaAnswer(const limits::QuotaAnswer& answer);
/// @brief Fails with kFrameInvalid if a value is missing or out of its range.
base::Result<limits::QuotaAnswer> DecodeQuotaAnswer(std::string_view text);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_QUOTA_MESSAGES_HPP
