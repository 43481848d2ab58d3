#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

namespace catkintally::core
{

using wire::key_state;

/// State of one idempotency key and of the request that carries it.
struct idempotency_record
{
    std::string key;
    key_state state = key_state::queued;
    request_id request = 0;
    /// Text form of the member that dispatches the request and stores its response.
    std::string dispatcher;
    std::uint64_t fingerprint = 0;
    /// Time of the last change of state; start of the retention time.
    time_point changed{};
};

/// Converts a record for sending to other members. Members do not compare their clocks, so the
/// message carries the age of the record, in milliseconds.
[[nodiscard]] wire::key_record_data to_wire(const idempotency_record& record, time_point now);

/// Converts a received record; the time of its last change is its age before `now`.
[[nodiscard]] idempotency_record from_wire(const wire::key_record_data& data, time_point now);

} // namespace catkintally::core
