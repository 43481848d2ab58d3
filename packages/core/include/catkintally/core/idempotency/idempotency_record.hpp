#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

namespace catkintally::core
{

using wire::key_state;

/// What is known about one idempotency key.
struct idempotency_record
{
    std::string key;
    key_state state = key_state::queued;
    request_id request = 0;
    /// Text form of the member that dispatches the request and keeps its answer.
    std::string dispatcher;
    std::uint64_t fingerprint = 0;
    /// Time of the last change of state; the retention time counts from here.
    time_point changed{};
};

/// Record as sent to other members. Clocks are not compared, so it carries its age.
[[nodiscard]] wire::key_record_data to_wire(const idempotency_record& record, time_point now);

/// Received record, its age counted back from `now`.
[[nodiscard]] idempotency_record from_wire(const wire::key_record_data& data, time_point now);

} // namespace catkintally::core
