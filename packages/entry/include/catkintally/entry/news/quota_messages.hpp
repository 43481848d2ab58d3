#pragma once

#include <catkintally/core/limits/demand_report.hpp>
#include <catkintally/core/limits/token_message.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <cstdint>
#include <vector>

namespace catkintally::entry
{

/// Messages with demand reports for quotas. Consecutive reports of one instance share a head.
[[nodiscard]] std::vector<wire::payloadUnion>
to_quota_messages(const std::vector<core::demand_report>& reports);

/// Reports in a received message; malformed ones are left out.
[[nodiscard]] std::vector<core::demand_report> to_reports(const wire::quota_notice_data& message);

[[nodiscard]] wire::payloadUnion to_message(const core::token_message& message);
[[nodiscard]] core::token_message to_token_message(const wire::quota_token_data& data);

/// Requests per second in 16 bits, to within a thousandth; 0 for an instance that leaves.
[[nodiscard]] std::uint16_t encode_rate(double per_second);
[[nodiscard]] double decode_rate(std::uint16_t code);

} // namespace catkintally::entry
