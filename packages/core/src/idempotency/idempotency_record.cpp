#include <catkintally/core/idempotency/idempotency_record.hpp>

namespace catkintally::core
{

wire::key_record_data to_wire(const idempotency_record& record, time_point now)
{
    wire::key_record_data data;
    data.key = record.key;
    data.state = record.state;
    data.request_id = record.request;
    data.dispatcher = record.dispatcher;
    data.fingerprint = record.fingerprint;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - record.changed);
    data.age_ms = age.count() < 0 ? 0 : static_cast<std::uint64_t>(age.count());
    return data;
}

idempotency_record from_wire(const wire::key_record_data& data, time_point now)
{
    return {
        .key = data.key,
        .state = data.state,
        .request = data.request_id,
        .dispatcher = data.dispatcher,
        .fingerprint = data.fingerprint,
        .changed = now - std::chrono::milliseconds(data.age_ms)};
}

} // namespace catkintally::core
